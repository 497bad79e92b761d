"""What one process tells the other of all that it knows: who it is, in its offer, and when it gives way."""

from __future__ import annotations

from typing import Any

from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import rules
from badgerroad.hot_restart.peer import Peer
from badgerroad.load_balancing import state


def hello(d: Dispatcher) -> dict[str, Any]:
    """Which dispatcher this is, and what version of the messages it speaks."""
    return {"version": rules.VERSION, "name": d.config.name, "listen": list(d.config.listen)}


def offer(d: Dispatcher) -> dict[str, Any]:
    """The worker list, the numbers of zones and kinds in it, and how many descriptors are held here."""
    reader = d.endpoint_watch.reader
    return {
        "version": rules.VERSION,
        "known": d.endpoint_watch.to_wire(d.backend.addresses()),
        "zones": reader.zones,
        "kinds": reader.machine_types,
        "held": d.descriptors.used,
    }


def yours(d: Dispatcher, attempts: list[Any], elsewhere: set[bytes], learned: bool) -> dict[str, Any]:
    """`attempts`: those out, as `state` lists them; `elsewhere`: ids open in other processes; `learned`: with what the
    decisions have learned."""
    return {
        "state": state.copy_out(d.decisions) if learned else None,
        "attempts": attempts,
        "open": [i.decode("latin-1") for i in {*d.requests_by_id, *elsewhere}],
    }


def take_over(d: Dispatcher, head: dict[str, Any], peer: Peer) -> None:
    """What `yours` says, taken in: into the decisions, and into what is known of the other process."""
    if head["state"] is not None:
        state.copy_in(d.decisions, head["state"])
    for attempt, worker, slots, long, started in head["attempts"]:
        peer.attempts.sent(attempt, worker, float(slots), bool(long), (0, 0.0))
        if started:
            peer.attempts.started(attempt)
    peer.open = {i.encode("latin-1") for i in head["open"]} - d.requests_by_id.keys()
