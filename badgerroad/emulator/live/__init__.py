"""Runs the emulator in real time: unmodified dispatcher processes talk to the simulated nodes over loopback sockets."""
