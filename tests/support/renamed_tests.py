"""Pairs the tests of two checkouts by their position in the file, and prints the renamed ones.

    python -m tests.support.renamed_tests OLD NEW OLD_CASES NEW_CASES [OLD_PATH=NEW_PATH ...]

OLD and NEW are checkouts, and the cases files contain the output of `pytest --collect-only -q` in each. A test is expected
to keep its position among the test functions of its file. Prints `before, cases, after, cases`, tab-separated, for each test that has another name or
another number of cases. Exit code 1 if a file has fewer test functions than before.
"""

import ast
import sys
from collections import Counter
from pathlib import Path


def main(old: str, new: str, old_cases: str, new_cases: str, *moved: str) -> int:
    """Print the table, and return the exit code."""
    targets = dict(pair.split("=") for pair in moved)
    before, after = _cases(old_cases), _cases(new_cases)
    lost = False
    for path in sorted(Path(old, "tests").rglob("test_*.py")):
        relative = str(path.relative_to(old))
        target = targets.get(relative, relative)
        old_tests, new_tests = _tests(path), _tests(Path(new, target))
        if len(old_tests) > len(new_tests):
            print(f"{relative}: {len(old_tests)} test functions before, {len(new_tests)} now", file=sys.stderr)
            lost = True
        for old_test, new_test in zip(old_tests, new_tests, strict=False):
            old_id, new_id = f"{relative}::{old_test}", f"{target}::{new_test}"
            if old_id != new_id or before[old_id] != after[new_id]:
                print(old_id, before[old_id], new_id, after[new_id], sep="\t")
    return int(lost)


def _cases(file: str) -> Counter[str]:
    """Return the number of cases of each test in the output of a collection."""
    return Counter(line.partition("[")[0] for line in Path(file).read_text().splitlines() if "::" in line)


def _tests(path: Path) -> list[str]:
    """Return the names of the test functions and methods of a file, in their order."""
    nodes = [
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    ]
    return [node.name for node in sorted(nodes, key=lambda node: node.lineno) if node.name.startswith("test_")]


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
