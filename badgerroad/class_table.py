"""Classes of requests go by name; the decisions know them by a place in a list. Which place, when the settings change.

A place whose class has open jobs is never given to another class: a class that vanished, or came back as another one
under its name, keeps its place, retired, until its last job has ended.
"""

from __future__ import annotations

from collections.abc import Sequence

from badgerroad.load_balancing import interface


class ClassTable:
    def __init__(self, fresh: Sequence[interface.RequestClass]) -> None:
        self.request_classes: list[interface.RequestClass] = list(fresh)
        self.index_by_name: dict[bytes, int] = {c.name.encode(): n for n, c in enumerate(fresh)}

    def update(self, fresh: Sequence[interface.RequestClass], in_use: set[int]) -> tuple[interface.RequestClass, ...]:
        """The classes are `fresh` now. `in_use`: places that open jobs have. Returns the list, retired ones too."""
        places: list[interface.RequestClass | None] = [
            c if n in in_use else None for n, c in enumerate(self.request_classes)
        ]
        by_name: dict[bytes, int] = {}
        moved: list[interface.RequestClass] = []
        for c in fresh:
            place = self.index_by_name.get(c.name.encode())
            if place is not None and (self.request_classes[place] == c or place not in in_use):
                places[place], by_name[c.name.encode()] = c, place
            else:
                moved.append(c)
        for c in moved:
            place = places.index(None) if None in places else len(places)
            places[place : place + 1] = [c]
            by_name[c.name.encode()] = place
        while places and places[-1] is None:
            places.pop()
        # A place of nobody's in between, to which no name leads, repeats one that is somebody's.
        self.request_classes = [fresh[0] if c is None else c for c in places]
        self.index_by_name = by_name
        return tuple(self.request_classes)
