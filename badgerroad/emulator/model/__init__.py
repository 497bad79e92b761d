"""The model itself: no sockets, files, threads, wall clocks or global randomness."""
