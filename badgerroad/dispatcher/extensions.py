"""Holds the extensions of a dispatcher, by name and in the order in which they were set."""

from __future__ import annotations

from badgerroad.extension import DispatcherExtension


class Extensions:
    """The extensions of a dispatcher, which notifies the extensions in `active`, in the order of that tuple."""

    def __init__(self) -> None:
        """Start without extensions."""
        self._by_name: dict[str, DispatcherExtension] = {}
        self.active: tuple[DispatcherExtension, ...] = ()

    def set(self, name: str, extension: DispatcherExtension | None) -> None:
        """Set or replace the extension of that name; None removes it."""
        self._by_name.pop(name, None)
        if extension is not None:
            self._by_name[name] = extension
        self.active = tuple(self._by_name.values())

    def get(self, name: str) -> DispatcherExtension | None:
        """Return the extension of that name, or None."""
        return self._by_name.get(name)
