"""Entry point of `python -m badgerroad`.

Start-up must be short: other dispatchers may be restarting at the same time, and no requests are served until
at least one dispatcher is up.
"""

import gc
import os
import sys


def start() -> int:
    """Run the command line and return the exit code."""
    # Importing Tornado loads the system's certificates, which takes a fifth of the start-up time. This program does not
    # use TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()  # imports create no garbage worth collecting
    if sys.argv[1:2] == ["serve"]:
        _import_asyncio_without_ssl()
    if sys.argv[1:2] in (["serve"], ["control"]):
        from badgerroad import startup_signals

        startup_signals.install()  # a reload may be requested during the imports, which take most of the start-up time
    from badgerroad.cli import main

    gc.enable()
    return main()


def _import_asyncio_without_ssl() -> None:
    """Import asyncio so that it does not load the TLS library, which takes 5 MB.

    A later import of `ssl` works as usual.
    """
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    sys.modules["ssl"] = None  # type: ignore[assignment]  # makes the import fail, for which asyncio is prepared
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]


if __name__ == "__main__":
    sys.exit(start())
