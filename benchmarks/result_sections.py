"""Writes sections of a page of results, each between two markers; the rest of the page is left unchanged."""

from __future__ import annotations

from pathlib import Path

PROOF_PAGE = Path(__file__).parent.parent / "docs" / "results" / "fleet_proof.md"


def write_section(page: Path, name: str, text: str) -> None:
    """Write `text` between the markers of section `name`, or append the section if the page lacks it."""
    begin, end = f"<!-- {name}: written by a command -->", f"<!-- end of {name} -->"
    section = f"{begin}\n\n{text.strip()}\n\n{end}"
    old = page.read_text() if page.exists() else ""
    if begin in old:
        head, rest = old.split(begin, 1)
        page.write_text(head + section + rest.split(end, 1)[1])
    else:
        page.write_text(f"{old.rstrip()}\n\n{section}\n".lstrip())
