"""The issuer side: one module or package a protocol that issuer hosts speak."""
