"""Where lists of issuer hosts come from."""
