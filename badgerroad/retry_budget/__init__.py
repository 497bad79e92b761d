"""The retry budget: limits retries to a share of first attempts. Imported only if the operator's file enables it."""
