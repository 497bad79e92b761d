"""Errors have a type each, a code that is theirs alone, and a page that says what to do."""

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


def types(of=BadgerroadError):
    return {of} | {t for sub in of.__subclasses__() for t in types(sub)}


TYPES = sorted(
    (t for t in types() if t is not BadgerroadError and t.__module__.startswith("badgerroad.")),
    key=lambda t: t.__name__,
)


def named_where_raised():
    """Names that stand in a `raise`, or are given to a function as the error to raise."""
    names = set()
    for path in (ROOT / "badgerroad").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
                names.add(ast.unparse(node.exc.func).split(".")[-1])
            if isinstance(node, ast.Call):
                names |= {ast.unparse(a.func).split(".")[-1] for a in node.args if isinstance(a, ast.Call)}
                names |= {a.id for a in node.args if isinstance(a, ast.Name)}
    return names


def test_each_type_has_a_code_and_a_remedy_of_its_own_and_stands_on_the_page():
    rows = dict(re.findall(r"^\| `([a-z-]+)` \| `(\w+)` \|", (ROOT / "docs/operate/errors.md").read_text(), re.M))
    assert rows == {t.code: t.__name__ for t in TYPES}
    assert len(rows) == len(TYPES)
    assert all("code" in vars(t) and "remedy" in vars(t) and t.remedy for t in TYPES)


@pytest.mark.parametrize("kind", TYPES, ids=lambda t: t.__name__)
def test_each_type_is_raised_somewhere(kind):
    assert kind.__name__ in named_where_raised()


def test_a_line_says_code_what_happened_and_what_to_do():
    e = ListenError("ops", ("127.0.0.1", 7), OSError(98, "Address already\nin use"))
    assert e.line == f"listen: ops: 127.0.0.1:7: Address already in use; {e.remedy}"
    assert e.fields == {"code": "listen", "error": "ops: 127.0.0.1:7: Address already in use", "remedy": e.remedy}
