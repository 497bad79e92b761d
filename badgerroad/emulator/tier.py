"""Interface between the simulation environment and its dispatchers, virtual or live."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.emulator.model.clients import Transport
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.nodes import RenderNode


class Tier(Transport, Protocol):
    """The dispatchers of a run: virtual machines, or processes reached over sockets."""

    def send_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the dispatcher of the job."""

    def node_gone(self, node: RenderNode) -> None:
        """Break the connections of a node whose process has ended."""

    def reset(self, node: RenderNode) -> None:
        """Break all connections to a node, as a middlebox that loses its state does; the node continues to run."""

    def start(self, number: int) -> None:
        """Start a dispatcher."""

    def kill(self, number: int) -> None:
        """Kill a dispatcher (SIGKILL)."""

    def stop(self, number: int) -> None:
        """Stop a dispatcher gracefully (SIGTERM)."""

    def freeze(self, number: int, on: bool) -> None:
        """Freeze or resume a dispatcher (SIGSTOP, SIGCONT)."""

    def reload(self, number: int) -> None:
        """Make a dispatcher reload its configuration (SIGHUP)."""

    def is_up(self, number: int) -> bool:
        """Whether a dispatcher is running."""


Trace = Callable[[int, str, dict[str, Any]], None]
