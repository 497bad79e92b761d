"""Several dispatcher processes that share one listening address, to use more than one CPU core."""
