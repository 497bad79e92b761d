"""Builds the messages of a hot restart that describe a dispatcher: its identity, its offer, and its learned state."""

from __future__ import annotations

from typing import Any

from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages, rules
from badgerroad.hot_restart.peers import PeerProcess
from badgerroad.load_balancing import state


def hello(dispatcher: Dispatcher) -> messages.Hello:
    """Return a message with the dispatcher's identity and the version of its messages."""
    config = dispatcher.config
    return messages.Hello(rules.PROTOCOL_VERSION, config.name, list(config.listen), reads_lists=True)


def is_same_dispatcher(dispatcher: Dispatcher, message: messages.Hello) -> bool:
    """Whether the sender of a hello is a process of this dispatcher and uses the same version of the messages."""
    config = dispatcher.config
    received = message.version, message.name, message.listen
    return received == (rules.PROTOCOL_VERSION, config.name, list(config.listen))


def offer(dispatcher: Dispatcher) -> messages.Offer:
    """Return the endpoint list, the names of zones and machine types by index, and the number of descriptors in use."""
    reader = dispatcher.endpoint_watch.reader
    return messages.Offer(
        version=rules.PROTOCOL_VERSION,
        endpoint_list=dispatcher.endpoint_watch.to_wire(dispatcher.backend.addresses()),
        zones=reader.zones,
        machine_types=reader.machine_types,
        descriptors_in_use=dispatcher.descriptors.used,
        reads_lists=True,
    )


def received_list(dispatcher: Dispatcher) -> messages.ReceivedList:
    """Return a message with the endpoint list that is now in force."""
    watch = dispatcher.endpoint_watch
    return messages.ReceivedList(watch.address, watch.to_wire(dispatcher.backend.addresses()))


def grant(
    dispatcher: Dispatcher, attempts: list[Any], peer_open_requests: set[bytes], with_state: bool
) -> messages.Grant:
    """Return the message that hands new requests over.

    `attempts`: the attempts in flight, as `state.export_attempts` lists them; `peer_open_requests`: ids of requests
    that are open in other processes; `with_state`: include the learned state of the dispatch policy.
    """
    return messages.Grant(
        state=state.export_learned_state(dispatcher.decisions) if with_state else None,
        attempts=attempts,
        open_requests=list({*dispatcher.requests_by_id, *peer_open_requests}),
    )


def restore(dispatcher: Dispatcher, message: messages.Grant, sender: PeerProcess) -> None:
    """Apply a grant: the learned state to the dispatch policy, attempts and open requests to the record of `sender`."""
    if message.state is not None:
        state.import_learned_state(dispatcher.decisions, message.state)
    for attempt, worker, slots, long, started in message.attempts:
        sender.attempts.record_send(attempt, worker, float(slots), bool(long), (0, 0.0))
        if started:
            sender.attempts.record_start(attempt)
    sender.open_requests = set(message.open_requests) - dispatcher.requests_by_id.keys()
