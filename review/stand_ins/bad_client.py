"""A bad client: a head that never ends, sent at full speed. A program of its own, so that nothing slows it down.

Usage: python -m stand_ins.bad_client HOST PORT SECONDS

It stops at the first byte of an error, at the end of the connection, after SECONDS or after 60 MB, and prints what it
sent and got as JSON.
"""

import json
import select
import socket
import sys
import time

LINES = b"\r\n" * 32 * 1024  # the lines of a head that never comes to its end
LIMIT_BYTES = 60_000_000


def play(address, seconds):
    """Send until the dispatcher answers or ends the connection; return what was sent and got."""
    started_at = time.monotonic()
    sent = 0
    got = "nothing"
    with socket.create_connection(address) as connection:
        connection.setblocking(False)
        while sent < LIMIT_BYTES and time.monotonic() - started_at < seconds:
            readable, writable, _ = select.select([connection], [connection], [], 0.1)
            try:
                if readable:
                    got = connection.recv(4096).decode("latin-1") or "close"
                    break
                if writable:
                    sent += connection.send(LINES)
            except ConnectionError:
                got = "close"
                break
    return {"sent_bytes": sent, "got": got, "seconds": round(time.monotonic() - started_at, 3)}


if __name__ == "__main__":
    print(json.dumps(play((sys.argv[1], int(sys.argv[2])), float(sys.argv[3]))))
