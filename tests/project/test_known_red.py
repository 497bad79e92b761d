"""Checks that each line of KNOWN-RED.txt names a test that exists, and gives command, observed failure and issue."""

import ast

import pytest

from tests.conftest import KNOWN_RED, known_red


@pytest.mark.parametrize("test", sorted(known_red()))
def test_each_entry_has_four_parts_and_names_a_test_that_exists(test):
    parts = [part.strip() for part in known_red()[test].split("|")]
    assert len(parts) == 4
    assert all(parts)
    file, _, name = test.partition("::")
    tree = ast.parse((KNOWN_RED.parent / file).read_text())
    functions = {node.name for node in tree.body if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}
    assert name.partition("[")[0] in functions
