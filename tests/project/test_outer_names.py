"""The names that leave the process (messages, stored data, settings, flags, metrics, log events) stay letter for letter."""

from pathlib import Path

import pytest

from tests.support.outer_names import names_of_program

LISTED = (Path(__file__).parent / "data/outer_names.txt").read_text().split()


@pytest.fixture(scope="module")
def present():
    return names_of_program()


def test_the_list_is_sorted_and_has_no_name_twice():
    assert sorted(set(LISTED)) == LISTED


def test_each_listed_name_is_in_the_program(present):
    assert [name for name in LISTED if name not in present] == []
