"""Mutates one message at a time in recorded dialogues of the fleet, and counts the mutations that changed the outcome.

python -m benchmarks.fleet_mutations --jobs 4 --write
python -m benchmarks.fleet_mutations --target 120 --mutation "term - 1"
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cache
from multiprocessing import Pool

from benchmarks.result_sections import PROOF_PAGE, write_section
from tests.fleet.simulation.violations import Kind
from tests.mutation.dialogue import Recording, dialogue_name, play, record, selected_messages
from tests.mutation.mutations import mutations


@dataclass(frozen=True)
class Case:
    """One mutation of one message. `target`: the message's number in the recording."""

    target: int
    mutation: str


@dataclass(frozen=True)
class CaseResult:
    """Outcome of one case. `changed`: whether any decision on a request differs; `breaches`: violated properties."""

    case: Case
    dialogue: str
    kind: str
    group: str
    faulty_sender: bool
    changed: bool
    breaches: tuple[tuple[Kind, str], ...]

    def __str__(self) -> str:
        command = f'python -m benchmarks.fleet_mutations --target {self.case.target} --mutation "{self.case.mutation}"'
        return "\n".join([f"{self.kind}: {self.case.mutation}: {command}", *(f"  {text}" for _, text in self.breaches)])


@cache
def recording() -> Recording:
    """Return the unmutated dialogues, recorded once per process."""
    return record()


def cases() -> list[Case]:
    """Return every mutation of every selected message."""
    recorded = recording()
    return [
        Case(number, mutation.name)
        for number in selected_messages(recorded)
        for mutation in mutations(recorded.parcels[number], recorded.peers)
    ]


def run_case(case: Case) -> CaseResult:
    """Run the dialogues with one message mutated."""
    recorded = recording()
    parcel = recorded.parcels[case.target]
    mutation = next(m for m in mutations(parcel, recorded.peers) if m.name == case.mutation)
    _, outcome = play(recorded.schedule, case.target, mutation)
    return CaseResult(
        case,
        dialogue_name(parcel.message) or "",
        type(parcel.message).__name__,
        mutation.group,
        mutation.faulty_sender,
        outcome.differs(recorded.outcome),
        tuple((kind, str(violation)) for kind, violation in outcome.result.findings.first.items()),
    )


def table(results: Iterable[CaseResult]) -> str:
    """Format the counts by dialogue and group of mutations as a Markdown table."""
    counted, changed, broke = Counter[tuple[str, str]](), Counter[tuple[str, str]](), Counter[tuple[str, str]]()
    for result in results:
        key = (result.dialogue, result.group)
        counted[key] += 1
        changed[key] += result.changed
        broke[key] += bool(result.breaches)
    lines = [
        "| dialogue | change of one message | cases | changed a decision | broke a property |",
        "|---|---|---|---|---|",
    ]
    lines += [f"| {key[0]} | {key[1]} | {counted[key]} | {changed[key]} | {broke[key]} |" for key in sorted(counted)]
    total = f"| all | | {sum(counted.values())} | {sum(changed.values())} | {sum(broke.values())} |"
    return "\n".join([*lines, total])


def main() -> int:
    """Run one case or all, and return the exit code: 1 if a property was violated."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    parser.add_argument("--target", type=int, help="number of the only message to mutate")
    parser.add_argument("--mutation", help="with --target: name of the mutation")
    parser.add_argument("--write", action="store_true", help="write the counts into the results page")
    arguments = parser.parse_args()
    if arguments.target is not None:
        result = run_case(Case(arguments.target, arguments.mutation))
        print(result)
        return 1 if result.breaches else 0
    with Pool(arguments.jobs) as pool:
        results = pool.map(run_case, cases(), chunksize=20)
    for result in results:
        if result.breaches:
            print(result)
    text = table(results)
    print(text)
    if arguments.write:
        write_section(PROOF_PAGE, "mutations", text)
    return 1 if any(result.breaches for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
