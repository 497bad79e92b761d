"""The operator's own file: schema and checked load."""
