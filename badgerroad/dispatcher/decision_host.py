"""Runs the dispatch policy: passes it one event at a time and performs the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from badgerroad.dispatcher.extensions import Extensions
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.net import logs
from badgerroad.net.timer_wheel import Clock

log = logs.get("badgerroad")

_NO_REQUEST = -1
ActionHandlers = Mapping[type, Callable[[Any], None]]


class DecisionHost:
    """Owns the dispatch policy. Events that arise while another event is handled are queued, so the policy is never
    re-entered."""

    def __init__(
        self, decisions: DispatchPolicy, clock: Clock, extensions: Extensions, fail_request: Callable[[int], None]
    ) -> None:
        """Host `decisions`. After an unexpected exception, `fail_request` is called with the number of the request;
        `fail_request` must ignore numbers of requests that are not open."""
        self.decisions = decisions
        self._clock = clock
        self._extensions = extensions
        self._fail_request = fail_request
        self._action_handlers: ActionHandlers = {}
        self._event_queue: deque[interface.Event] = deque()
        self._handling = False

    def set_action_handlers(self, handlers: ActionHandlers) -> None:
        """Set the handler for each type of action. Called once, before the first event."""
        self._action_handlers = handlers

    def handle_event(self, event: interface.Event) -> None:
        """Pass an event to the policy, after those already queued, and perform the resulting actions."""
        self._event_queue.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._event_queue:
                self._handle_next(self._event_queue.popleft())
        finally:
            self._handling = False

    def perform_actions(self, actions: list[interface.Action]) -> None:
        """Perform actions in list order. If an action raises an exception, only the request of that action fails."""
        for action in actions:
            handler = self._action_handlers.get(type(action))
            if handler is None:
                log.error("action_unknown", action=repr(action))
                continue
            try:
                handler(action)
            except Exception:
                log.exception("action_failed", action=repr(action))
                self._fail_request(getattr(action, "request", _NO_REQUEST))

    def _handle_next(self, event: interface.Event) -> None:
        if type(event) is interface.AttemptStarted:
            for extension in self._extensions.active:
                extension.attempt_started(event.request, event.attempt)
        try:
            actions = self.decisions.handle(self._clock.now(), event)
        except Exception:
            log.exception("decisions_failed", event_received=repr(event))
            self._fail_request(getattr(event, "request", _NO_REQUEST))
            return
        self.perform_actions(actions)
