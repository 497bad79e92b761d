"""The simulation model; uses no sockets, files, threads, wall clocks or global random state."""
