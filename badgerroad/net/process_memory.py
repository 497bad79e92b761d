"""The memory of this process as the operating system sees it."""

from __future__ import annotations

import contextlib
import resource

BYTES_PER_KB = 1024
KB_PER_MB = 1024
BYTES_PER_MB = BYTES_PER_KB * KB_PER_MB
STATUS_PATH = "/proc/self/statm"
RESIDENT_PAGES = 1  # index of the field


def resident_bytes() -> int:
    """Return the resident memory, 0 if the system does not report it."""
    with contextlib.suppress(OSError, ValueError, IndexError), open(STATUS_PATH, encoding="ascii") as status:
        return int(status.read().split()[RESIDENT_PAGES]) * resource.getpagesize()
    return 0


def return_free_memory() -> None:
    """Return free memory of the heap to the system, if the C library has a function for that.

    The heap returns only what is free at its end by itself, so one small object behind the buffers of a thousand
    connections would keep their memory.
    """
    try:
        import ctypes  # rarely needed, and takes memory itself
    except ImportError:
        return
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
