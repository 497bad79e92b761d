"""Loopback ports for processes that are started later, or started again."""

import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 29_999  # below the range from which the kernel chooses the local ports of outgoing connections


def free_port():
    """Return a port that nobody uses now, and that no outgoing connection will take before it is used."""
    draws = random.Random()
    while True:
        port = draws.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
