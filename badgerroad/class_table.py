"""Assigns indices to request classes: clients refer to a class by name, the dispatch policy by index.

The index of a class with open requests is never assigned to another class. A class that is removed, or replaced by one
of the same name with other settings, is retired: it keeps its index until its last request has ended.
"""

from __future__ import annotations

from collections.abc import Sequence

from badgerroad.load_balancing import interface


class ClassTable:
    """The request classes by index, including retired ones, and the index of each current name."""

    def __init__(self, classes: Sequence[interface.RequestClass]) -> None:
        """Start with the classes of the settings, in their order."""
        self.request_classes: list[interface.RequestClass] = list(classes)
        self.index_by_name = {request_class.name.encode(): index for index, request_class in enumerate(classes)}

    def update(
        self, classes: Sequence[interface.RequestClass], indices_in_use: set[int]
    ) -> tuple[interface.RequestClass, ...]:
        """Put new classes in force and return all classes by index. Open requests refer to `indices_in_use`."""
        slots: list[interface.RequestClass | None] = [
            request_class if index in indices_in_use else None
            for index, request_class in enumerate(self.request_classes)
        ]
        index_by_name: dict[bytes, int] = {}
        without_index: list[interface.RequestClass] = []
        for request_class in classes:
            index = self.index_by_name.get(request_class.name.encode())
            if index is not None and (self.request_classes[index] == request_class or index not in indices_in_use):
                slots[index] = request_class
                index_by_name[request_class.name.encode()] = index
            else:
                without_index.append(request_class)
        for request_class in without_index:
            index = slots.index(None) if None in slots else len(slots)
            slots[index : index + 1] = [request_class]
            index_by_name[request_class.name.encode()] = index
        while slots and slots[-1] is None:
            slots.pop()
        # No name refers to an unused index between used ones, so any class may be listed at such an index.
        self.request_classes = [classes[0] if request_class is None else request_class for request_class in slots]
        self.index_by_name = index_by_name
        return tuple(self.request_classes)
