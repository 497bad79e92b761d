"""Decodes this program's own TOML files into msgspec types. Error texts are one line and name file and field."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode(path: Path, kind: type[T], error: Callable[[str], Exception]) -> T:
    """Decode a file into an instance of `kind`. `error` creates the exception to raise from its text: the file, the
    field if there is one, and the reason."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=kind)
    except OSError as e:
        raise error(f"{path}: {e.strerror}") from e
    except msgspec.ValidationError as e:
        reason, _, where = str(e).partition(" - at `")
        raise error(f"{path}: {where.rstrip('`').lstrip('$.') or 'file'}: {reason}") from e
    except (msgspec.DecodeError, ValueError) as e:  # ValueError: also bytes that are not text
        raise error(f"{path}: not TOML: {' '.join(str(e).split())}") from e
