"""The operator's TOML file: its schema, and loading with checks."""
