"""Holds the settings in force, with request classes and tenants by name, and applies changes of the settings."""

from __future__ import annotations

from badgerroad.class_table import ClassTable
from badgerroad.load_balancing import interface


class ActiveSettings:
    """The settings in force. A reload replaces `current` as a whole, so a setting must be read here at each use."""

    def __init__(self, settings: interface.Settings) -> None:
        """Start with the settings of the configuration."""
        self.current = settings
        self.classes = ClassTable(settings.classes)
        self.tenants = _indices_by_name(settings)

    def replace(self, settings: interface.Settings, open_classes: set[interface.RequestClass]) -> None:
        """Put new settings in force. A class in `open_classes` keeps its index, because open requests refer to it."""
        indices_in_use = {
            index for index, request_class in enumerate(self.classes.request_classes) if request_class in open_classes
        }
        classes = self.classes.update(settings.classes, indices_in_use)
        self.current = settings._replace(classes=classes)
        self.tenants = _indices_by_name(settings)

    def knows_class(self, path: bytes) -> bool:
        """Return whether the first segment of a request's path names a request class."""
        segments = path.split(b"/")
        return len(segments) > 1 and segments[1] in self.classes.index_by_name


def _indices_by_name(settings: interface.Settings) -> dict[bytes, int]:
    return {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}
