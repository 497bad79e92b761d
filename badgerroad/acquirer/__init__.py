"""The acquirer side: one module or package a protocol that clients speak."""
