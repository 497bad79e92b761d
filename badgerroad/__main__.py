"""Entry point of `python -m badgerroad`.

While a dispatcher restarts, others may be restarting too: what start-up takes is time in which nobody serves.
"""

import gc
import os
import sys


def start() -> int:
    # Tornado loads the system's certificates as it is imported, a fifth of the start; this program speaks no TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()  # nothing that imports make is garbage
    if sys.argv[1:2] in (["serve"], ["control"]):
        from badgerroad import startup_signals

        startup_signals.install()  # the imports take longest, and a reload may be asked for meanwhile
    from badgerroad.cli import main

    gc.enable()
    return main()


if __name__ == "__main__":
    sys.exit(start())
