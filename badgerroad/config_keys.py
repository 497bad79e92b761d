"""Finds the keys that a configuration file lacks in comparison with the one in force.

Many keys have a default, so a start accepts a file without them. At a reload, a key that has vanished shows that the
file is incomplete: with its default, a class could get another effect than the operator gave it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

OPTIONAL_KEYS = frozenset(("aimStretch", "fleet"))  # the protocol lets the settings leave them out
MAX_DEPTH = 16  # levels that are compared; a file that is nested far deeper must not exhaust the stack
UNCOMPARED_KEYS = frozenset(("known",))  # their content is data of the last run, not configuration


class KeyTree(NamedTuple):
    """The keys of a JSON object with the trees of their values, or the names of a list's objects with theirs.

    Other values have no children. A key whose value is null counts as missing.
    """

    children: dict[str, KeyTree]
    is_list: bool = False


def key_tree(value: Any, levels: int = MAX_DEPTH) -> KeyTree:
    """Return the keys of a JSON value, down to a number of levels."""
    if isinstance(value, dict) and levels:
        return KeyTree(
            {
                key: KeyTree({}) if key in UNCOMPARED_KEYS else key_tree(member, levels - 1)
                for key, member in value.items()
                if member is not None
            }
        )
    if isinstance(value, list) and levels:
        objects = [(index, entry) for index, entry in enumerate(value) if isinstance(entry, dict)]
        trees = {str(entry.get("name", index)): key_tree(entry, levels - 1) for index, entry in objects}
        return KeyTree(trees, is_list=True)
    return KeyTree({})


def missing_keys(present: KeyTree, new: KeyTree, path: str = "") -> Iterator[str]:
    """Yield the path of each key of `present` that `new` lacks; of a missing object, only its own path.

    The objects of a list are compared by their names. They may appear and vanish; one that appears needs the keys that
    all objects of the present list have.
    """
    if present.is_list:
        yield from _missing_in_list(present, new, path)
        return
    for key, tree in present.children.items():
        key_path = f"{path}.{key}" if path else key
        if key in new.children:
            yield from missing_keys(tree, new.children[key], key_path)
        elif key not in OPTIONAL_KEYS:
            yield key_path


def _missing_in_list(present: KeyTree, new: KeyTree, path: str) -> Iterator[str]:
    shared_keys = _shared_keys(present)
    for name, tree in new.children.items():
        yield from missing_keys(present.children.get(name, shared_keys), tree, f"{path}[{name}]")


def _shared_keys(present: KeyTree) -> KeyTree:
    """Return the keys that all objects of a list have."""
    objects = list(present.children.values())
    shared = set.intersection(*(set(tree.children) for tree in objects)) if objects else set()
    return KeyTree({key: KeyTree({}) for key in sorted(shared)})
