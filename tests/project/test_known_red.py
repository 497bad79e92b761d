"""Checks that each line of KNOWN-RED.txt names a test that exists, and gives command, observed failure and issue.

A line names a test of this tree by its node id, or a day of the operators' standing test, which is not part of this tree.
"""

import ast
import re

import pytest

from tests.conftest import KNOWN_RED, known_red

STANDING_TEST_DAY = re.compile(r"standing test, day [a-z]+(\+[a-z]+)*, rule [a-z]+")
STANDING_TEST_COMMAND = re.compile(r"--panel [a-z]+ --seed \d+ --day \d+")


@pytest.mark.parametrize("test", sorted(known_red()))
def test_each_entry_has_four_parts_and_names_a_test_that_exists(test):
    parts = [part.strip() for part in known_red()[test].split("|")]
    assert len(parts) == 4
    assert all(parts)
    if STANDING_TEST_DAY.fullmatch(test):
        assert STANDING_TEST_COMMAND.search(parts[1])
        return
    file, _, name = test.partition("::")
    tree = ast.parse((KNOWN_RED.parent / file).read_text())
    functions = {node.name for node in tree.body if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}
    assert name.partition("[")[0] in functions
