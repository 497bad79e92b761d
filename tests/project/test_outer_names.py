"""Checks that names which leave the process (messages, stored data, settings, flags, metrics, log events) do not change."""

from pathlib import Path

import pytest

from tests.support.outer_names import names_of_program

LISTED = (Path(__file__).parent / "data/outer_names.txt").read_text().split()


@pytest.fixture(scope="module")
def program_names():
    return names_of_program()


def test_the_list_is_sorted_and_has_no_duplicates():
    assert sorted(set(LISTED)) == LISTED


def test_each_listed_name_is_in_the_program(program_names):
    assert [name for name in LISTED if name not in program_names] == []
