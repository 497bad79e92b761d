"""What one process sends the other of all that it knows: who it is, its offer, and its state when it yields."""

from __future__ import annotations

from typing import Any

from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages, rules
from badgerroad.hot_restart.peers import PeerProcess
from badgerroad.load_balancing import state


def hello(dispatcher: Dispatcher) -> messages.Hello:
    """Which dispatcher this is, and the version of its messages."""
    return messages.Hello(rules.VERSION, dispatcher.config.name, list(dispatcher.config.listen))


def is_same_dispatcher(dispatcher: Dispatcher, message: messages.Hello) -> bool:
    """Whether the sender of a hello is of this dispatcher and speaks the same version."""
    config = dispatcher.config
    received = message.version, message.name, message.listen
    return received == (rules.VERSION, config.name, list(config.listen))


def offer(dispatcher: Dispatcher) -> messages.Offer:
    """The endpoint list, the numbers of zones and machine types in it, and the descriptors in use."""
    reader = dispatcher.endpoint_watch.reader
    return messages.Offer(
        version=rules.VERSION,
        endpoint_list=dispatcher.endpoint_watch.to_wire(dispatcher.backend.addresses()),
        zones=reader.zones,
        machine_types=reader.machine_types,
        descriptors_in_use=dispatcher.descriptors.used,
    )


def grant(dispatcher: Dispatcher, attempts: list[Any], open_elsewhere: set[bytes], with_state: bool) -> messages.Grant:
    """`attempts`: those in flight, as `state` lists them; `open_elsewhere`: ids open in other processes; `with_state`:
    with what the decisions have learned."""
    return messages.Grant(
        state=state.export_learned_state(dispatcher.decisions) if with_state else None,
        attempts=attempts,
        open_requests=list({*dispatcher.requests_by_id, *open_elsewhere}),
    )


def restore(dispatcher: Dispatcher, message: messages.Grant, sender: PeerProcess) -> None:
    """Put what a grant carries into the decisions, and into what is known of its sender."""
    if message.state is not None:
        state.import_learned_state(dispatcher.decisions, message.state)
    for attempt, worker, slots, long, started in message.attempts:
        sender.attempts.record_send(attempt, worker, float(slots), bool(long), (0, 0.0))
        if started:
            sender.attempts.record_start(attempt)
    sender.open_requests = set(message.open_requests) - dispatcher.requests_by_id.keys()
