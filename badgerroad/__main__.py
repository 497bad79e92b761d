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
        _import_without_openssl()
    if sys.argv[1:2] in (["serve"], ["control"]):
        from badgerroad import startup_signals

        startup_signals.install()  # a reload may be requested during the imports, which take most of the start-up time
    from badgerroad.cli import main

    gc.enable()
    return main()


def _import_without_openssl() -> None:
    """Import the modules that would load OpenSSL, which takes 4 MB, so that they do without it.

    A later import of `ssl` works as usual.
    """
    missing = [name for name in ("ssl", "_hashlib") if name not in sys.modules]
    for name in missing:
        sys.modules[name] = None  # type: ignore[assignment]  # its import fails, for which the importers are prepared
    try:
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401
    finally:
        for name in missing:
            del sys.modules[name]


if __name__ == "__main__":
    sys.exit(start())
