"""Checks that the pages name only files, packages and commands that exist."""

import re
from pathlib import Path

import pytest

from badgerroad import cli

ROOT = Path(__file__).parents[2]
PAGES = sorted([ROOT / "README.md", *ROOT.glob("docs/*.md"), *ROOT.glob("docs/operate/*.md")])
NAMED_PATH = re.compile(r"`((?:badgerroad|tests|benchmarks|docs|examples|deploy)/[\w./-]+)`")
TEST_FILE = re.compile(r"`(test_\w+\.py)`")
PACKAGE_ROW = re.compile(r"^\| `badgerroad/([a-z_]+)/` \|", re.MULTILINE)


def commands():
    """Return the commands in the help text of the command line."""
    return set(re.findall(r"^  badgerroad \(?([a-z-]+)", cli.__doc__, re.MULTILINE)) | {"lab"}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_path_named_on_a_page_exists(page):
    named = {path.rstrip("/.") for path in NAMED_PATH.findall(page.read_text())}
    assert sorted(path for path in named if not (ROOT / path).exists()) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_test_file_named_on_a_page_exists(page):
    existing = {path.name for path in (ROOT / "tests").rglob("test_*.py")}
    assert sorted(set(TEST_FILE.findall(page.read_text())) - existing) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_each_command_in_an_example_exists(page):
    lines = [line.strip() for line in page.read_text().splitlines() if line.startswith("    badgerroad ")]
    assert [line for line in lines if line.split()[1] not in commands()] == []


def test_the_architecture_page_has_a_row_for_each_package_and_no_other():
    rows = PACKAGE_ROW.findall((ROOT / "docs/architecture.md").read_text())
    packages = [path.parent.name for path in (ROOT / "badgerroad").glob("*/__init__.py")]
    assert sorted(rows) == sorted(packages)
