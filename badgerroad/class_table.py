"""The indices of request classes: clients name a class, the decisions know it by its index in the settings.

An index whose class has open requests is never given to another class: a class that is removed, or that comes back with
other settings under its name, keeps its index, retired, until its last request has ended.
"""

from __future__ import annotations

from collections.abc import Sequence

from badgerroad.load_balancing import interface


class ClassTable:
    """The request classes by index, retired ones included, and the index of each current name."""

    def __init__(self, classes: Sequence[interface.RequestClass]) -> None:
        """Start with the classes of the settings, in their order."""
        self.request_classes: list[interface.RequestClass] = list(classes)
        self.index_by_name = {request_class.name.encode(): index for index, request_class in enumerate(classes)}

    def update(
        self, classes: Sequence[interface.RequestClass], indices_in_use: set[int]
    ) -> tuple[interface.RequestClass, ...]:
        """Put new classes in force; open requests refer to `indices_in_use`. Returns all classes by index."""
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
        # No name leads to an unused index in between; any class may fill it.
        self.request_classes = [classes[0] if request_class is None else request_class for request_class in slots]
        self.index_by_name = index_by_name
        return tuple(self.request_classes)
