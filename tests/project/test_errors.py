"""Checks that each error type has a unique code, a remedy, a row on the page of errors, and a place that raises it."""

import ast
import importlib
import pkgutil
import re
from pathlib import Path

import pytest

import badgerroad
from badgerroad.errors import BadgerroadError, ListenError

ROOT = Path(__file__).parents[2]
for module in pkgutil.walk_packages(badgerroad.__path__, "badgerroad."):
    if not module.name.endswith("__main__"):
        importlib.import_module(module.name)


def error_types(base=BadgerroadError):
    """Return `base` and all classes derived from it."""
    return {base} | {t for subclass in base.__subclasses__() for t in error_types(subclass)}


TYPES = sorted(
    (t for t in error_types() if t is not BadgerroadError and t.__module__.startswith("badgerroad.")),
    key=lambda t: t.__name__,
)


def names_of_raised_types():
    """Return the names called in a `raise`, and the names passed to functions, which may raise them."""
    names = set()
    for path in (ROOT / "badgerroad").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
                names.add(ast.unparse(node.exc.func).split(".")[-1])
            if isinstance(node, ast.Call):
                names |= {ast.unparse(a.func).split(".")[-1] for a in node.args if isinstance(a, ast.Call)}
                names |= {a.id for a in node.args if isinstance(a, ast.Name)}
    return names


def test_each_type_has_its_own_code_and_remedy_and_a_row_on_the_page():
    rows = dict(re.findall(r"^\| `([a-z-]+)` \| `(\w+)` \|", (ROOT / "docs/operate/errors.md").read_text(), re.M))
    assert rows == {t.code: t.__name__ for t in TYPES}
    assert len(rows) == len(TYPES)
    assert all("code" in vars(t) and "remedy" in vars(t) and t.remedy for t in TYPES)


@pytest.mark.parametrize("error_type", TYPES, ids=lambda t: t.__name__)
def test_each_type_is_raised_somewhere(error_type):
    assert error_type.__name__ in names_of_raised_types()


def test_the_line_of_an_error_has_its_code_the_failure_and_the_remedy():
    error = ListenError("ops", ("127.0.0.1", 7), OSError(98, "Address already\nin use"))
    assert error.line == f"listen: ops: 127.0.0.1:7: Address already in use; {error.remedy}"
    assert error.fields == {
        "code": "listen",
        "error": "ops: 127.0.0.1:7: Address already in use",
        "remedy": error.remedy,
    }
