"""Compares the syntax trees of two checkouts, with comments, docstrings, names and texts left out.

    python -m tests.support.syntax_comparison OLD NEW [PATH ...] [--moved OLD_PATH=NEW_PATH ...]

OLD and NEW are checkouts; PATH names files or folders below both (default: badgerroad). Prints each function or class
whose tree differs in more than names and texts, the numbers and name-like texts that are missing or new, and the renames.
Exit code 1 if there is any difference other than a rename.
"""

import ast
import re
import sys
from collections import Counter
from pathlib import Path

NAME = re.compile(r"[A-Za-z_][\w.-]*")


def main(arguments: list[str]) -> int:
    """Compare the modules that the command line names, and return the exit code."""
    moved = dict(a.split("=") for a in arguments if "=" in a)
    old, new, *paths = (a for a in arguments if "=" not in a and a != "--moved")
    different = False
    for relative in _modules(Path(old), paths or ["badgerroad"]):
        target = Path(new) / moved.get(str(relative), str(relative))
        if not target.exists():
            print(f"{relative}: no longer there")
            different = True
            continue
        lines = compare(Path(old, relative).read_text(), target.read_text())
        different |= any(not line.startswith("renamed") for line in lines)
        for line in lines:
            print(f"{relative}: {line}")
    return int(different)


def _modules(checkout: Path, paths: list[str]) -> list[Path]:
    found = []
    for path in paths:
        whole = checkout / path
        found += [whole] if whole.is_file() else sorted(whole.rglob("*.py"))
    return [path.relative_to(checkout) for path in found]


def compare(old: str, new: str) -> list[str]:
    """Return the differences between two versions of a module's source, one per line."""
    old_tree, new_tree = _tree(old), _tree(new)
    lines: list[str] = []
    pairs: Counter[tuple[str, str]] = Counter()
    _compare_blocks(_definitions(old_tree), _definitions(new_tree), lines, pairs)
    for kind, values in (("number", _numbers), ("text", _name_texts)):
        before, now = values(_tree(old)), values(_tree(new))
        gone, added = before - now, now - before
        if gone or added:
            lines.append(f"{kind}s gone {dict(gone)}, added {dict(added)}")
    lines += [f"renamed {before} to {after} ({count})" for (before, after), count in sorted(pairs.items())]
    return lines


def _compare_blocks(old, new, lines, pairs):
    """Compare definitions one by one; `old` and `new` are lists of (name, node)."""
    if len(old) != len(new):
        lines.append(f"{len(old)} definitions before, {len(new)} now")
        names = {name for name, _ in old} ^ {name for name, _ in new}
        lines.append(f"only on one side: {sorted(names)}")
        return
    for (old_name, old_node), (new_name, new_node) in zip(old, new, strict=True):
        if _normalised(old_node) != _normalised(new_node):
            lines.append(f"syntax of {old_name} differs (now {new_name})")
        else:
            pairs.update((a, b) for a, b in zip(_names(old_node), _names(new_node), strict=True) if a != b)


def _definitions(tree):
    """Return (qualified name, node) of each function, each class without its functions, and the remaining statements."""
    found = []

    def walk(node, prefix):
        for child in getattr(node, "body", []):
            if isinstance(child, ast.ClassDef):
                walk(child, f"{prefix}{child.name}.")
                found.append((f"class {prefix}{child.name}", child))
                child.body = [n for n in child.body if not isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)]
            elif isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
                found.append((f"{prefix}{child.name}", child))

    walk(tree, "")
    tree.body = [
        n
        for n in tree.body
        if not isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef | ast.Import | ast.ImportFrom)
    ]
    return [*found, ("the module's own statements", tree)]


def _tree(text):
    """Return the syntax tree of a module's source, without docstrings."""
    tree = ast.parse(text)
    for node in ast.walk(tree):
        if hasattr(node, "body") and isinstance(node.body, list):
            node.body = [
                n
                for n in node.body
                if not (
                    isinstance(n, ast.Expr) and isinstance(n.value, ast.Constant) and isinstance(n.value.value, str)
                )
            ]
    return tree


class _Normaliser(ast.NodeVisitor):
    """Converts a tree to a list in which placeholders replace names and texts; imports are left out."""

    def __init__(self):
        self.parts, self.names = [], []

    def visit(self, node):
        if isinstance(node, ast.Import | ast.ImportFrom):
            return
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            self.parts.append(("text", type(node.value).__name__))
            return
        if isinstance(node, ast.JoinedStr):
            values = [part for part in node.values if isinstance(part, ast.FormattedValue)]
            self.parts.append(("f-string", len(values)))
            for part in values:
                self.visit(part)
            return
        self.parts.append(type(node).__name__)
        for field, value in ast.iter_fields(node):
            self._field(field, value)
        self.parts.append("end")

    def _field(self, field, value):
        if isinstance(value, list):
            self.parts.append((field, len(value)))
            for item in value:
                self._field(field, item)
        elif isinstance(value, ast.AST):
            self.visit(value)
        elif isinstance(value, str) and field != "kind":
            self.parts.append((field, "name"))
            self.names.append(value)
        else:
            self.parts.append((field, repr(value)))


def _normalised(node):
    normaliser = _Normaliser()
    normaliser.visit(node)
    return normaliser.parts


def _names(node):
    normaliser = _Normaliser()
    normaliser.visit(node)
    return normaliser.names


def _numbers(tree):
    constants = (node.value for node in ast.walk(tree) if isinstance(node, ast.Constant))
    return Counter(repr(value) for value in constants if isinstance(value, int | float) and not isinstance(value, bool))


def _name_texts(tree):
    """Return the texts that look like names, and may therefore leave the process."""
    constants = (node.value for node in ast.walk(tree) if isinstance(node, ast.Constant))
    texts = (v.decode("latin-1") if isinstance(v, bytes) else v for v in constants if isinstance(v, str | bytes))
    return Counter(text for text in texts if NAME.fullmatch(text))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
