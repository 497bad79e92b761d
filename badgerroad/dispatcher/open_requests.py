"""Holds the open requests. Each is answered exactly once and removed when none of its attempts is in flight."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgerroad import request_log
from badgerroad.dispatcher.extensions import Extensions
from badgerroad.net import http1
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.requests import OpenRequest

if TYPE_CHECKING:
    from badgerroad.admin.counters import Counters


class OpenRequests:
    """Owns requests from their registration to their release, and counts them."""

    def __init__(
        self,
        wheel: TimerWheel,
        memory: MemoryBudget,
        extensions: Extensions,
        counts: Counters | None,
        on_overdue: Callable[[OpenRequest], None],
    ) -> None:
        """Start without requests. `counts` is None if no admin listener serves them. `on_overdue` is called for a
        request without an answer at its deadline, and may answer it."""
        self.by_number: dict[int, OpenRequest] = {}
        self.by_id: dict[bytes, OpenRequest] = {}
        self._wheel = wheel
        self._memory = memory
        self._extensions = extensions
        self._counts = counts
        self._on_overdue = on_overdue
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that no other request of this process has."""
        self._last_number += 1
        return self._last_number

    @property
    def upcoming_number(self) -> int:
        """The number that `next_number` will return; reading it does not reserve it."""
        return self._last_number + 1

    @property
    def has_unanswered(self) -> bool:
        """Whether a registered request has not been answered yet."""
        return any(not request.exchange.answered for request in self.by_number.values())

    def has_id(self, request_id: bytes) -> bool:
        """Return whether a request of that id is open here or, as far as an extension knows, in another process."""
        return request_id in self.by_id or any(
            extension.has_open_request(request_id) for extension in self._extensions.active
        )

    def register(self, request: OpenRequest, tick_us: int) -> None:
        """Register a request, which guarantees it an answer: one tick before its deadline, a request that has none is
        passed to `on_overdue`, and answered with 504 if it has none after that."""
        self.by_number[request.number] = request
        self.by_id[request.forwarded.id] = request
        request.memory = self._memory.account()
        request.memory.resize(request.forwarded.memory_size)
        if self._counts:
            self._counts.request_admitted()
        time_left_us = request.forwarded.deadline - self._wheel.clock.now() - tick_us
        request.deadline_timer = self._wheel.after(max(time_left_us, 0), lambda: self._out_of_time(request))

    def _out_of_time(self, request: OpenRequest) -> None:
        if not request.exchange.answered:
            self._on_overdue(request)
        self.answer(request, 504, b"out of time\n")

    def answer(self, request: OpenRequest, status: int, body: bytes, headers: http1.Headers | None = None) -> None:
        """Answer a request unless it has been answered. All answers to registered requests go through this method."""
        if not request.exchange.answered:
            request_log.log_answer(request, status, self._wheel.clock.now())
            if self._counts:
                self._counts.request_ended(request.request_class.name, status)
            request.exchange.answer(status, body, headers or [])
        self.release_if_finished(request)

    def fail_internally(self, number: int) -> None:
        """Answer a request with 500 after an unexpected exception. Ignores a number that no open request has."""
        request = self.by_number.get(number)
        if request:
            self.answer(request, 500, b"internal error\n")

    def client_disconnected(self, request: OpenRequest) -> None:
        """Count a request whose client disconnected before the response."""
        if self._counts:
            self._counts.request_ended(request.request_class.name, 0)

    def release_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that has been answered and has no attempt in flight."""
        if not request.exchange.answered:
            return
        if request.deadline_timer:
            request.deadline_timer.cancel()
        if request.open_attempts:
            return
        if request.memory is not None:
            request.memory.resize(0)
        self.by_number.pop(request.number, None)
        if self.by_id.pop(request.forwarded.id, None):
            for extension in self._extensions.active:
                extension.request_forgotten(request.forwarded.id)
