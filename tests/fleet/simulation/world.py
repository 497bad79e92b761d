"""The simulated world: an event queue in true time, nodes with their own clocks, and the network between them."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any, Protocol

from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.rules.lease_transfer import LeaseExport
from tests.fleet.simulation.clock import MILLISECOND, draw_clock
from tests.fleet.simulation.network import Network, Parcel
from tests.fleet.simulation.nodes import Event, Node
from tests.fleet.simulation.setups import Setup

REFUSAL_DELAY = 2 * MILLISECOND
"""Delay after which peers see that a connection to a dead process is closed or refused."""
DRAIN_POLL = 50 * MILLISECOND
NO_TIME = 1 << 62


class Watcher(Protocol):
    """Observer of every step: the oracle, a trace or a measurement."""

    def requested(self, node: Node, request: int, team: str) -> None: ...
    def canceled(self, node: Node, request: int) -> None: ...
    def decided(self, node: Node, request: int, over_quota: bool) -> None: ...
    def sent(self, node: Node, to: str, message: Any) -> None: ...
    def delivered(self, node: Node, parcel: Parcel) -> None: ...
    def stepped(self, node: Node) -> None: ...
    def died(self, node: Node) -> None: ...
    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None: ...
    def quotas_changed(self, quotas: dict[str, float]) -> None: ...


class World:
    """Runs the rules of a whole fleet. All random numbers derive from `random`, so equal seeds give equal runs."""

    def __init__(self, setup: Setup, random: Random) -> None:
        self.setup = setup
        self.random = random
        self.now = 0
        self.steps = 0
        self.network = Network(Random(random.getrandbits(64)))
        self.watchers: list[Watcher] = []
        self.quotas = dict(setup.quotas)
        self.nodes: dict[str, Node] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._request_count = 0
        for controller in setup.settings.controllers:
            self.nodes[controller.name] = Node(controller.name, controller.zone, draw_clock(random), True)
        for name, zone in setup.dispatchers.items():
            self.nodes[name] = Node(name, zone, draw_clock(random), False)
        self.controllers = [node for node in self.nodes.values() if node.is_controller]
        self.dispatchers = [node for node in self.nodes.values() if not node.is_controller]

    # The queue.

    def at(self, time: int, action: Callable[[], None]) -> None:
        """Schedule `action` at a true time; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(self._queue, (max(time, self.now), self._sequence, action))

    def run_until(self, end: int) -> None:
        """Run all events up to and including a true time."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, action = heapq.heappop(queue)
            self.steps += 1
            action()
        self.now = end

    # Processes.

    def start(self, node: Node) -> None:
        """Start a process with a new incarnation and no state."""
        assert not node.alive
        node.incarnation += 1 + self.random.randrange(1_000)
        settings, local_now = self.setup.settings, node.clock.read(self.now)
        random = Random(self.random.getrandbits(64))
        if node.is_controller:
            node.rules = ControllerRules(settings, node.name, node.incarnation, local_now, random)
            node.controller.set_quotas(local_now, dict(self.quotas))
        else:
            node.rules = DispatcherLeases(settings, node.name, node.zone, node.incarnation, local_now, random)
        node.stopped = node.hold_output = node.silent = False
        node.next_wakeup = None
        self._schedule_tick(node, node.incarnation, self.random.randrange(settings.tick_ms * MILLISECOND))

    def start_all(self) -> None:
        """Start every process that is not alive."""
        for node in self.nodes.values():
            if not node.alive:
                self.start(node)

    def kill(self, node: Node, silent: bool = False) -> None:
        """Kill a process. `silent`: kill its machine too, so that peers see no closed or refused connection."""
        if not node.alive:
            return
        node.rules = None
        node.silent = silent
        node.backlog.clear()
        node.held_actions.clear()
        for watcher in self.watchers:
            watcher.died(node)
        for other in sorted(node.connected):
            self.network.lose_connection(node.name, other)
            if not silent:
                self.at(self.now + REFUSAL_DELAY, partial(self._notify_connection_lost, self.nodes[other], node.name))
        node.connected.clear()

    def stop(self, node: Node, between_clock_and_send: bool = False) -> None:
        """Pause a process (SIGSTOP) and queue its events.

        `between_clock_and_send`: pause during its next event, after reading the clock and before sending.
        """
        if not node.alive:
            return
        node.stop_count += 1
        if between_clock_and_send:
            node.hold_output = True
        else:
            node.stopped = True

    def wake(self, node: Node) -> None:
        """Resume a paused process (SIGCONT): send its held output and handle its queued events."""
        if not node.alive or not (node.stopped or node.hold_output):
            return
        node.stopped = node.hold_output = False
        actions, node.held_actions = node.held_actions, []
        node.sending_held_output = True
        self._execute(node, actions)
        node.sending_held_output = False
        waiting, node.backlog = list(node.backlog), type(node.backlog)()
        for event in waiting:
            self.act(node, event)

    def act(self, node: Node, event: Event) -> None:
        """Handle one event at a node; queue it if the node is paused, drop it if the node is dead."""
        if not node.alive:
            return
        if node.stopped:
            node.backlog.append(event)
            return
        actions = event(node)
        if node.hold_output:
            node.stopped = True
            node.held_actions = list(actions)
        else:
            self._execute(node, actions)
        for watcher in self.watchers:
            watcher.stepped(node)

    def _execute(self, node: Node, actions: Iterable[Any]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(node, action)
            else:
                assert isinstance(action, QuotaDecision), action
                for watcher in self.watchers:
                    watcher.decided(node, action.request, action.over_quota)
        if not node.is_controller:
            self._schedule_wakeup(node)

    def _schedule_tick(self, node: Node, incarnation: int, delay: int) -> None:
        def tick() -> None:
            if node.incarnation != incarnation or not node.alive:
                return
            if not node.stopped:
                self.act(node, lambda host: host.rules.tick(host.clock.read(self.now)))
            self._schedule_tick(node, incarnation, self.setup.settings.tick_ms * MILLISECOND)

        self.at(self.now + delay, tick)

    def _schedule_wakeup(self, node: Node) -> None:
        wanted = node.dispatcher.next_wakeup()
        if wanted is None or (node.next_wakeup is not None and node.next_wakeup <= wanted):
            return
        node.next_wakeup = wanted
        incarnation = node.incarnation

        def wake_up() -> None:
            if node.incarnation != incarnation or not node.alive or node.next_wakeup != wanted:
                return
            node.next_wakeup = None
            self.act(node, lambda host: host.dispatcher.tick(host.clock.read(self.now)))

        self.at(int(node.clock.when(wanted)) + 2, wake_up)

    # Messages.

    def _send(self, node: Node, action: SendMessage) -> None:
        for watcher in self.watchers:
            watcher.sent(node, action.to, action.message)
        receiver = self.nodes[action.to]
        node.connected.add(receiver.name)
        receiver.connected.add(node.name)
        epoch = self.network.epoch(node.name, receiver.name)
        parcel = Parcel(node.name, node.incarnation, receiver.name, action.message, epoch)
        for delay, delivered in self.deliveries(parcel):
            self.at(self.now + delay, partial(self._arrive, delivered))

    def deliveries(self, parcel: Parcel) -> list[tuple[int, Parcel]]:
        """Return the copies of a message sent now that arrive, each with its delay; mutation tests override this."""
        return [(delay, parcel) for delay in self.network.delays(parcel)]

    def _arrive(self, parcel: Parcel) -> None:
        sender, receiver = self.nodes[parcel.sender], self.nodes[parcel.to]
        network = self.network
        if network.epoch(sender.name, receiver.name) != parcel.connection:
            return
        if network.is_blocked(sender.zone, receiver.zone):
            if network.holding:
                network.held.append(parcel)
            return
        if not receiver.alive:
            if not receiver.silent:
                self.at(self.now + REFUSAL_DELAY, partial(self._notify_connection_lost, sender, receiver.name))
            return
        self.act(receiver, partial(self._receive, parcel=parcel))

    def _receive(self, node: Node, parcel: Parcel) -> list[Any]:
        for watcher in self.watchers:
            watcher.delivered(node, parcel)
        peer = Peer(parcel.sender, parcel.sender_incarnation)
        return list(node.rules.receive(node.clock.read(self.now), peer, parcel.message))

    def _notify_connection_lost(self, node: Node, other: str) -> None:
        if self.network.is_blocked(self.nodes[other].zone, node.zone):
            return
        self.act(node, lambda host: host.rules.peer_lost(host.clock.read(self.now), other) or [])

    def lose_connection(self, one: str, other: str) -> None:
        """Close a connection: drop the messages in flight and notify both ends."""
        self.network.lose_connection(one, other)
        self._notify_connection_lost(self.nodes[one], other)
        self._notify_connection_lost(self.nodes[other], one)

    def cut(self, pairs: set[tuple[str, str]]) -> None:
        """Start a partition in the given (from zone, to zone) directions."""
        self.network.block(pairs)

    def heal(self, pairs: set[tuple[str, str]]) -> None:
        """End a partition and deliver the messages held back by it."""
        for parcel in self.network.unblock(pairs):
            self.at(self.now + self.random.randrange(REFUSAL_DELAY), partial(self._arrive, parcel))

    # Actions of operators and clients.

    def request(self, node: Node, team: str) -> int | None:
        """Send a client's request to a dispatcher; return its number, or None if the dispatcher is dead."""
        if not node.alive:
            return None
        self._request_count += 1
        number = self._request_count

        def send_request(host: Node) -> list[Any]:
            for watcher in self.watchers:
                watcher.requested(host, number, team)
            return list(host.dispatcher.request(host.clock.read(self.now), number, team))

        self.act(node, send_request)
        return number

    def cancel(self, node: Node, request: int) -> None:
        """Cancel a request because its client has disconnected."""

        def cancel_request(host: Node) -> list[Any]:
            for watcher in self.watchers:
                watcher.canceled(host, request)
            return list(host.dispatcher.cancel(host.clock.read(self.now), request) or [])

        self.act(node, cancel_request)

    def change_quotas(self, quotas: dict[str, float], spread: int) -> None:
        """Change the quotas; each controller learns them at a random time within `spread` microseconds."""
        self.quotas = dict(quotas)
        for watcher in self.watchers:
            watcher.quotas_changed(quotas)
        for node in self.controllers:
            self.at(self.now + self.random.randrange(spread), partial(self.act, node, self._set_quotas))

    def _set_quotas(self, node: Node) -> list[Any]:
        node.controller.set_quotas(node.clock.read(self.now), dict(self.quotas))
        return []

    def drain(self, node: Node, give_up_after: int, on_end: Callable[[], None]) -> None:
        """Drain a controller (SIGTERM), kill it when it is drained or after `give_up_after`, and call `on_end`."""
        incarnation, deadline = node.incarnation, self.now + give_up_after

        def poll() -> None:
            if node.incarnation != incarnation or not node.alive:
                return
            is_drained = not node.stopped and node.controller.drained(node.clock.read(self.now))
            if is_drained or self.now >= deadline:
                self.kill(node)
                on_end()
            else:
                self.at(self.now + DRAIN_POLL, poll)

        self.act(node, lambda host: list(host.controller.drain(host.clock.read(self.now))))
        self.at(self.now + DRAIN_POLL, poll)

    def release(self, node: Node) -> None:
        """Shut a dispatcher down gracefully: return its leases, then kill it."""
        if not node.alive or node.stopped:
            return
        self.act(node, lambda host: list(host.dispatcher.release(host.clock.read(self.now))))
        if node.alive:
            self.at(self.now + DRAIN_POLL, partial(self.kill, node))

    def hand_over(self, node: Node, overlap: int) -> None:
        """Upgrade a dispatcher: a new process on the same machine takes over its leases and its new requests.

        The two processes have different names. The old process still handles its waiting requests and exits after
        `overlap` microseconds.
        """
        if not node.alive or node.stopped or node not in self.dispatchers:
            return
        local_now = node.clock.read(self.now)
        exported = node.dispatcher.export(local_now)
        successor = Node(f"{node.name}+", node.zone, node.clock, False)
        successor.incarnation = node.incarnation + 1
        self.nodes[successor.name] = successor
        self.dispatchers[self.dispatchers.index(node)] = successor
        settings, random = self.setup.settings, Random(self.random.getrandbits(64))
        successor.rules = DispatcherLeases.restore(
            settings, successor.name, node.zone, successor.incarnation, local_now, random, exported
        )
        for watcher in self.watchers:
            watcher.handed_over(node, successor, exported)
        self._schedule_tick(successor, successor.incarnation, settings.tick_ms * MILLISECOND)
        self.at(self.now + overlap, partial(self.kill, node))
