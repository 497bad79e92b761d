"""Records the messages that a version of the program sends to other processes of the same dispatcher.

    python benchmarks/record_compatibility.py TREE TARGET

TREE is a checkout of the version before the packages were renamed. Its own tests of hot restart and of server processes
are run, and for each kind of message the shortest and the longest packet are written to TARGET/SUBSYSTEM/KIND-N.packet.
The exported state of the policy and of an open request is written to TARGET/decisions. `tests/compatibility` reads
these files with the present code.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

SUBSYSTEM_TESTS = {
    "hot_restart": ["tests/test_handover.py"],
    "multiprocess": ["tests/test_multiprocess.py"],
}
LONGEST_RECORDED_BYTES = 30_000


def record_decisions(folder: Path) -> None:
    """Record the exported state of the policy and of an open request, from the tests of the earlier version."""
    import pytest
    from heathcrank import state

    saved: dict[str, object] = {}

    def recorder(name: str) -> Callable[..., object]:
        original = getattr(state, name)

        def recording(*arguments: object) -> object:
            saved[name] = original(*arguments)
            return saved[name]

        return recording

    for name in ("copy_out", "job_out"):
        setattr(state, name, recorder(name))
    pytest.main(["-q", "-p", "no:cacheprovider", "tests/test_handover_rules.py"])
    folder.mkdir(parents=True, exist_ok=True)
    for name, value in saved.items():
        (folder / f"{name}.json").write_text(json.dumps(value, separators=(",", ":")))


def server_process_messages() -> dict[str, list[bytes]]:
    """Return the messages that are sent by other processes than that of the tests."""
    from tornado.ioloop import IOLoop

    from badgerroad.config import read
    from badgerroad.multiprocess.supervisor import Supervisor
    from badgerroad.net import packets
    from badgerroad.net.wheel import Clock, Wheel
    from badgerroad.operator.schema import load
    from tests.test_multiprocess import DATA

    async def messages() -> dict[str, list[bytes]]:
        text = json.dumps({**DATA, "name": "Zürich"}, ensure_ascii=False)
        config = read(json.loads(text), {})
        wheel = Wheel(Clock(), IOLoop.current())
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write("[log]\nformat = 'json'\n")
            file.flush()
            operator = load(file.name)
        heads = []
        for operator_config in (None, operator):
            supervisor = Supervisor(2, config, text.encode(), operator_config, None, False, wheel)
            supervisor.listen = "127.0.0.1:8080"
            heads.append(supervisor._config())
        return {
            "config": [packets.one("config", head) for head in heads],
            "listens": [packets.one("listens", {})],
        }

    return asyncio.run(messages())


def record(tests: list[str]) -> dict[str, list[bytes]]:
    """Run `tests` in the current directory, and return the packets sent, by kind and without duplicates."""
    import pytest

    from badgerroad.net import packets

    recorded: dict[str, list[bytes]] = {}
    encode = packets.one

    def recording(kind: str, head: dict[str, object], payload: bytes = b"") -> bytes:
        packet: bytes = encode(kind, head, payload)
        if packet not in recorded.setdefault(kind, []) and len(packet) <= LONGEST_RECORDED_BYTES:
            recorded[kind].append(packet)
        return packet

    packets.one = recording
    try:
        pytest.main(["-q", "-p", "no:cacheprovider", *tests])
    finally:
        packets.one = encode
    return recorded


def main() -> None:
    checkout, target = Path(sys.argv[1]).resolve(), Path(sys.argv[2]).resolve()
    sys.dont_write_bytecode = True
    os.environ["PYTHONDONTWRITEBYTECODE"] = "1"
    os.chdir(checkout)
    sys.path.insert(0, str(checkout))
    record_decisions(target / "decisions")
    for subsystem, tests in SUBSYSTEM_TESTS.items():
        folder = target / subsystem
        folder.mkdir(parents=True, exist_ok=True)
        recorded = record(tests)
        if subsystem == "multiprocess":
            recorded |= server_process_messages()
        for kind, found in sorted(recorded.items()):
            chosen = sorted(found, key=len)
            for number, packet in enumerate(dict.fromkeys((chosen[0], chosen[-1]))):
                (folder / f"{kind.replace(' ', '_')}-{number}.packet").write_bytes(packet)
        print(subsystem, json.dumps(sorted(path.name for path in folder.iterdir())))


if __name__ == "__main__":
    main()
