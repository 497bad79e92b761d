"""Mutations of one message, as a network, a clock, an outdated process or a faulty sender can cause them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from msgspec import inspect

from badgerroad.fleet.messages import MalformedMessageError, Unknown, decode, encode
from tests.fleet.simulation.clock import MILLISECOND
from tests.fleet.simulation.network import Parcel

Deliveries = list[tuple[int, Parcel]]
"""Messages that arrive, each with its delay in microseconds."""
Change = Callable[[int, Parcel, "Parcel | None"], Deliveries]
"""Function of (normal delay, message, an earlier message of the same kind and direction or None).

It returns the messages that arrive instead of the message.
"""

DUPLICATE_DELAY_US = 30 * MILLISECOND
LATE_DELAYS_US = (100 * MILLISECOND, 700 * MILLISECOND, 2_500 * MILLISECOND)
TRUNCATIONS = (0.0, 0.3, 0.6, 0.9)
"""Shares of a message's bytes that remain after truncation."""


@dataclass(frozen=True)
class Mutation:
    """One mutation. `group`: its kind; `faulty_sender`: whether only a faulty sender could cause it."""

    group: str
    name: str
    change: Change
    faulty_sender: bool = False


def _lost(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
    return []


def _twice(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
    return [(delay, parcel), (delay + DUPLICATE_DELAY_US, parcel)]


def _late(by: int) -> Change:
    return lambda delay, parcel, earlier: [(delay + by, parcel)]


def _early(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
    return [(0, parcel)]


def _stale(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
    old = parcel if earlier is None else replace(parcel, message=earlier.message)
    return [(delay, old)]


def _from(name: str, incarnation: int) -> Change:
    return lambda delay, parcel, earlier: [(delay, replace(parcel, sender=name, sender_incarnation=incarnation))]


def _truncated(share: float) -> Change:
    def change(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
        data = encode(parcel.message)
        try:
            message = decode(data[: min(len(data) - 1, int(len(data) * share))])
        except MalformedMessageError:
            return []
        return [] if isinstance(message, Unknown) else [(delay, replace(parcel, message=message))]

    return change


def _replaced(message: Any) -> Change:
    def change(delay: int, parcel: Parcel, earlier: Parcel | None) -> Deliveries:
        received = decode(encode(message))
        return [(delay, replace(parcel, message=received))]

    return change


def mutations(parcel: Parcel, peers: dict[str, int]) -> Iterator[Mutation]:
    """Yield every mutation of one message. `peers`: names and incarnations of all processes."""
    yield Mutation("lost", "lost", _lost)
    yield Mutation("twice", "twice", _twice)
    for by in LATE_DELAYS_US:
        yield Mutation("late", f"late by {by // MILLISECOND} ms", _late(by))
    yield Mutation("early", "early", _early)
    yield Mutation("stale", "an earlier message in its place", _stale)
    for share in TRUNCATIONS:
        yield Mutation("cut short", f"cut short to {share:.0%}", _truncated(share))
    for name, incarnation in sorted(peers.items()):
        if name not in (parcel.sender, parcel.to):
            yield Mutation("other sender", f"from {name}", _from(name, incarnation), faulty_sender=True)
    old = max(0, parcel.sender_incarnation - 1)
    yield Mutation("other sender", "from an older incarnation", _from(parcel.sender, old))
    for text, message in older_terms(parcel.message):
        yield Mutation("older term", text, _replaced(message))
    for text, message in at_bounds(parcel.message):
        yield Mutation("field at a bound", text, _replaced(message), faulty_sender=True)


def older_terms(message: Any) -> Iterator[tuple[str, Any]]:
    """Yield the message with its term, or the terms of its claims, decremented."""
    if getattr(message, "term", 0) > 0:
        yield "term - 1", msgspec.structs.replace(message, term=message.term - 1)
    claims = getattr(message, "claims", ())
    if claims:
        older = tuple(msgspec.structs.replace(claim, term=max(0, claim.term - 1)) for claim in claims)
        yield "claims' terms - 1", msgspec.structs.replace(message, claims=older)


def at_bounds(struct: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the struct with one field at a time set to a bound, including fields of the first element of its lists."""
    info = inspect.type_info(type(struct))
    assert isinstance(info, inspect.StructType)
    for described in info.fields:
        value = getattr(struct, described.name)
        for changed, text in _bounds(described.type, value, f"{path}{described.name}"):
            if changed != value:
                yield text, msgspec.structs.replace(struct, **{described.name: changed})


def _bounds(kind: inspect.Type, value: Any, path: str) -> Iterator[tuple[Any, str]]:
    if isinstance(kind, inspect.IntType | inspect.FloatType):
        for bound in (kind.ge, kind.le, None if kind.lt is None else kind.lt - 1):
            if bound is not None:
                yield type(value)(bound), f"{path} = {bound}"
    elif isinstance(kind, inspect.BoolType):
        yield not value, f"{path} = {not value}"
    elif isinstance(kind, inspect.StrType):
        for length in (kind.min_length or 0, kind.max_length):
            yield "x" * (length or 0), f"{path} of {length} characters"
    elif isinstance(kind, inspect.VarTupleType | inspect.ListType) and value:
        yield from _sequence_bounds(kind, value, path)


def _sequence_bounds(kind: inspect.VarTupleType | inspect.ListType, value: Any, path: str) -> Iterator[tuple[Any, str]]:
    yield (), f"{path} empty"
    yield value + value, f"{path} doubled"
    if isinstance(value[0], msgspec.Struct):
        for text, element in at_bounds(value[0], f"{path}[0]."):
            yield (element, *value[1:]), text
    else:
        for element, text in _bounds(kind.item_type, value[0], f"{path}[0]"):
            yield (element, *value[1:]), text
