"""What a world needs of its dispatchers, however they run: virtual machines, or processes behind sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.emulator.model.clients import Transport
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.nodes import RenderNode


class Tier(Transport, Protocol):
    """The dispatchers, however they run."""

    def tell(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Carry a call-back to the dispatcher of the job."""

    def node_gone(self, node: RenderNode) -> None:
        """A node's process has died: its connections break."""

    def reset(self, node: RenderNode) -> None:
        """All connections to a node break, as when a box between them loses its state; the node runs on."""

    def start(self, number: int) -> None:
        """Start a dispatcher."""

    def kill(self, number: int) -> None:
        """SIGKILL."""

    def stop(self, number: int) -> None:
        """SIGTERM."""

    def freeze(self, number: int, on: bool) -> None:
        """SIGSTOP, SIGCONT."""

    def reload(self, number: int) -> None:
        """SIGHUP."""

    def is_up(self, number: int) -> bool:
        """Whether the dispatcher runs."""


Trace = Callable[[int, str, dict[str, Any]], None]
