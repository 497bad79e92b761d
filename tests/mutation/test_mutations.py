"""A single lost, duplicated, late, early, altered or truncated message violates no property, and the fleet recovers.

Every 27th case runs here; `python -m benchmarks.fleet_mutations` runs all of them.
"""

import pytest

from benchmarks.fleet_mutations import cases, recording, run_case
from tests.mutation.dialogue import DIALOGUES, dialogue_name
from tests.mutation.mutations import mutations

EVERY = 27
CHUNKS = 4


def test_unmutated_dialogues_violate_no_property_and_contain_every_kind_of_message() -> None:
    recorded = recording()
    assert not recorded.outcome.result.findings
    kinds = {type(parcel.message).__name__ for parcel in recorded.parcels}
    expected = {kind.__name__ for kinds in DIALOGUES.values() for kind in kinds}
    assert expected - kinds <= {"NotOwner"}


def test_every_group_of_mutations_occurs_in_every_dialogue() -> None:
    recorded = recording()
    groups: dict[str, set[str]] = {}
    for parcel in recorded.parcels:
        name = dialogue_name(parcel.message)
        assert name is not None
        groups.setdefault(name, set()).update(m.group for m in mutations(parcel, recorded.peers))
    common = {"lost", "twice", "late", "early", "stale", "cut short", "other sender", "field at a bound"}
    assert groups == {
        "candidate and voter": common | {"older term"},
        "owner and zone": common | {"older term"},
        "zone and dispatcher": common,
    }


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_one_mutated_message_violates_no_property_and_the_fleet_recovers(chunk: int) -> None:
    results = [run_case(case) for case in cases()[chunk * EVERY :: EVERY * CHUNKS]]
    failed = [str(result) for result in results if result.breaches]
    assert not failed, "\n".join(failed)
