"""The model behind loopback sockets, in real time, round unchanged dispatcher processes."""
