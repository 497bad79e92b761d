"""Interface of the simulation environment that virtual dispatchers use."""

from __future__ import annotations

from abc import abstractmethod
from typing import Generic, TypeVar

from badgerroad.emulator.model.clients import Try
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.open_requests import Attempt, OpenRequest
from badgerroad.emulator.world import World

M = TypeVar("M")  # type of the virtual dispatcher


class MachineWorld(World, Generic[M]):
    """Simulation environment of virtual dispatchers; `virtual.VirtualWorld` implements it."""

    @abstractmethod
    def send_answer(self, client_try: Try, outcome: str, retry_after: int) -> None:
        """Send a dispatcher's answer to the client."""

    @abstractmethod
    def attempt_arrives(self, machine: M, request: OpenRequest, attempt: Attempt) -> None:
        """Handle the arrival of a complete attempt at its node."""

    @abstractmethod
    def attempt_cancelled(self, machine: M, request_id: str, attempt: Attempt) -> None:
        """Handle the arrival of a cancel at the attempt's node."""

    @abstractmethod
    def list_sent(self, dispatcher: int, answer: Answer) -> None:
        """Record that discovery has sent an answer to a dispatcher."""
