"""Collects the names that leave the process from the source of the program.

    python -m tests.support.outer_names

prints them, one per line: message fields and their values, keys of settings and stored data, flags, environment variables,
metrics, log events and their fields, error codes. A name is a string constant that looks like a name, a word of the
command line's help, a field of a structure that is encoded by name, or a field of a log event.
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

PROGRAM = Path(__file__).parents[2] / "badgerroad"
NAME = re.compile(r"[A-Za-z_][\w.-]*")
FLAG_OR_COMMAND = re.compile(
    r"--[a-z][\w-]*|(?<=^  badgerroad )[a-z-]+|(?<= lab )[a-z]+(?= )|(?<=emulate )run", re.MULTILINE
)
NAME_PART = re.compile(r"\w*_\w*|[\w.]+[=-]|[A-Z]+")
COLUMN = re.compile(r"[a-z]+(?= (?:text|integer|blob)\b)")
LOG_METHODS = {"debug", "info", "warning", "error", "exception"}
NOT_OUTER = {"A-Za-z", "A-Za-z0-9._", "Agg", "asyncio.Task", "j2", "latin-1", "linewidth", "rich", "utf-8", "_"}
NOT_OUTER_ASSIGNMENTS = {"__slots__", "__all__", "__match_args__"}


def names_of_program() -> set[str]:
    """Return the names in all modules of the program, without those in NOT_OUTER."""
    return {name for path in sorted(PROGRAM.rglob("*.py")) for name in names_of_module(path)} - NOT_OUTER


def names_of_module(path: Path) -> set[str]:
    """Return the names in one module; in the help text of the command line, flags and commands are names."""
    tree = ast.parse(path.read_text())
    names = set()
    if path.name == "cli.py":
        names |= set(FLAG_OR_COMMAND.findall(ast.get_docstring(tree, clean=False) or ""))
    for node in _outer_nodes(tree):
        names |= set(_names_of_node(node))
    return names


def _outer_nodes(tree: ast.AST) -> Iterator[ast.AST]:
    """Yield the nodes below `tree`, without docstrings and assignments to NOT_OUTER_ASSIGNMENTS."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            continue
        if isinstance(node, ast.Assign) and any(ast.unparse(t) in NOT_OUTER_ASSIGNMENTS for t in node.targets):
            continue
        yield node
        if not isinstance(node, ast.JoinedStr):
            yield from _outer_nodes(node)


def _names_of_node(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.JoinedStr):
        parts = [part.value for part in node.values if isinstance(part, ast.Constant)]
        yield from (part for part in parts if NAME_PART.fullmatch(part))
    elif isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
        text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
        if len(text.split()) == 1:
            yield from NAME.findall(text)
        elif text.lstrip().startswith("create table"):
            yield from COLUMN.findall(text)
    elif isinstance(node, ast.ClassDef) and _is_encoded_by_name(node):
        yield from (n.target.id for n in node.body if isinstance(n, ast.AnnAssign) and isinstance(n.target, ast.Name))
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr in LOG_METHODS:
        yield from (keyword.arg for keyword in node.keywords if keyword.arg)


def _is_encoded_by_name(node: ast.ClassDef) -> bool:
    """Return whether the class is a msgspec structure whose fields are encoded under their names."""
    is_struct = any(ast.unparse(base) in ("msgspec.Struct", "Base") for base in node.bases)
    return is_struct and not any(keyword.arg == "array_like" for keyword in node.keywords)


if __name__ == "__main__":
    print("\n".join(sorted(names_of_program())))
