"""Runs the rules of a full-size fleet in one process and in virtual time, as a quick trial before the load benchmark.

    python -m benchmarks.fleet.in_memory [--dispatchers 200] [--load 0.5] [--share 1.0] [--seconds 60] [--warm 20] [--kill-owner]

There are no sockets and no message losses; a message takes the delay between its two places. The figures on the result
pages come from the load benchmark with real processes, not from here.
"""

from __future__ import annotations

import argparse
import heapq
import time
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.settings import Controller, FleetSettings

from . import layout, oracle, scenarios, traffic

SECOND = 1_000_000
TICK_US = 50_000
ELECTION_S = 6.0  # time after a start until the shards have owners


class Network:
    """Virtual time, and delivery of messages between the rules of named processes."""

    def __init__(self) -> None:
        self.now = 10 * SECOND
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = count()
        self.rules: dict[str, Any] = {}
        self.peers: dict[str, Peer] = {}
        self.place: dict[str, layout.Place] = {}
        self.dead: set[str] = set()
        self.messages: dict[str, int] = {}
        self.decided: Callable[[str, QuotaDecision], None] = lambda name, decided: None

    def at(self, when: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), action))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def add(self, name: str, place: layout.Place, rules: Any) -> None:
        self.peers[name] = Peer(name, 1)
        self.place[name] = place
        self.rules[name] = rules

    def execute(self, name: str, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, QuotaDecision):
                self.decided(name, action)
            elif isinstance(action, SendMessage):
                self.send(name, action)

    def send(self, name: str, action: SendMessage) -> None:
        kind = f"{name.split('-')[0]}>{type(action.message).__name__}"
        self.messages[kind] = self.messages.get(kind, 0) + 1
        delay = 0.0 if name == action.to else layout.delay_ms(self.place[name], self.place[action.to])
        self.at(self.now + int(delay * 1000), lambda: self.deliver(name, action))

    def deliver(self, name: str, action: SendMessage) -> None:
        if action.to not in self.dead and name not in self.dead:
            self.execute(action.to, self.rules[action.to].receive(self.now, self.peers[name], action.message))

    def tick(self, name: str) -> None:
        if name not in self.dead:
            self.execute(name, self.rules[name].tick(self.now))
            self.at(self.now + TICK_US, lambda: self.tick(name))

    def kill(self, name: str) -> None:
        self.dead.add(name)
        for other in self.rules:
            if other not in self.dead:
                self.execute(other, self.rules[other].peer_lost(self.now, name) or [])


class Trial:
    """One run of 19 controllers, the dispatchers and their traffic."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.network = Network()
        self.network.decided = self.record_decision
        self.places = layout.places()
        self.quotas = traffic.quotas()
        self.names = traffic.team_names()
        self.settings = FleetSettings(controllers=tuple(self.controllers()))
        self.requests: dict[tuple[str, int], int] = {}
        self.numbers = count()
        self.decisions: list[oracle.Decision] = []
        self.waits: list[int] = []
        self.request_times: dict[tuple[str, int], int] = {}

    def controllers(self) -> list[Controller]:
        return [
            Controller(place.controller, place.zone, place.region, "127.0.0.1", 20000 + index, place.voter)
            for index, place in enumerate(self.places)
        ]

    def record_decision(self, name: str, decided: QuotaDecision) -> None:
        team = self.requests.pop((name, decided.request))
        self.waits.append(self.network.now - self.request_times.pop((name, decided.request)))
        self.decisions.append(oracle.Decision(self.network.now / SECOND, team, decided.over_quota))

    def start(self) -> None:
        network, options = self.network, self.options
        quotas_by_team = dict(zip(self.names, self.initial_quotas(), strict=False))
        for index, place in enumerate(self.places):
            random = Random(f"{options.seed} {place.zone}")
            rules = ControllerRules(self.settings, place.controller, 1, network.now, random)
            rules.set_quotas(network.now, quotas_by_team)
            network.add(place.controller, place, rules)
            network.at(network.now + index * 2600, lambda name=place.controller: network.tick(name))
        for index in range(options.dispatchers):
            place, name = layout.place_of_dispatcher(index, self.places), layout.dispatcher_name(index)
            random = Random(f"{options.seed} {name}")
            network.add(name, place, DispatcherLeases(self.settings, name, place.zone, 1, network.now, random))
            network.at(network.now + index * 251, lambda name=name: network.tick(name))
        busy = traffic.busy_dispatchers(options.dispatchers, options.share, options.seed)
        rate = sum(self.quotas) * options.load / len(busy)
        for index in busy:
            self.next_arrival(index, traffic.arrivals(self.quotas, rate, options.seed, index), network.now)

    def initial_quotas(self) -> list[float]:
        """Return the initial quotas.

        With `--filled` they are raised for FILLING_S, so that the run starts with the bucket levels of a long run.
        """
        if not self.options.filled:
            return self.quotas
        scenario = scenarios.Scenario("in memory", "", self.options.load)
        return scenario.filling_quotas(self.quotas, len(self.places))

    def set_quotas(self) -> None:
        """Set the actual quotas, after the buckets have been filled."""
        for place in self.places:
            rules = self.network.rules[place.controller]
            rules.set_quotas(self.network.now, dict(zip(self.names, self.quotas, strict=False)))

    def next_arrival(self, index: int, source: Any, started: int) -> None:
        arrival = next(source)
        name = layout.dispatcher_name(index)

        def arrive() -> None:
            self.next_arrival(index, source, started)
            number = next(self.numbers)
            self.requests[name, number] = arrival.team
            self.request_times[name, number] = self.network.now
            rules = self.network.rules[name]
            self.network.execute(name, rules.request(self.network.now, number, self.names[arrival.team]))
            self.schedule_wakeup(name)

        self.network.at(started + int(arrival.at * SECOND), arrive)

    def schedule_wakeup(self, name: str) -> None:
        rules = self.network.rules[name]
        when = rules.next_wakeup()
        if when is not None:
            when = max(when, self.network.now)
            self.network.at(when, lambda: self.network.execute(name, rules.tick(self.network.now)))


def report(trial: Trial, start: float, end: float) -> None:
    decisions, quotas = trial.decisions, trial.quotas
    times = oracle.times_within(decisions, len(quotas))
    depths = [2 * len(trial.places) + 2 * quota for quota in quotas]
    changes = [[oracle.RateChange(0.0, quota)] for quota in quotas]
    worst = oracle.worst_overshoot(times, changes, depths)
    ordered = sorted(at for column in times for at in column)
    least, most = oracle.worst_use(ordered, start, end, sum(quotas))
    print(f"window {end - start:.0f} s: {sum(start <= d.at < end for d in decisions)} decisions")
    print(
        f"called over {oracle.over_share(decisions, start, end):.2%}, used {oracle.use(ordered, start, end, sum(quotas)):.2%} of all quotas (10 s windows {least:.1%} to {most:.1%})"
    )
    for low, high in ((0, 10), (10, 66), (66, 510)):
        group = [d for d in decisions if low <= d.team < high]
        used = sorted(at for column in times[low:high] for at in column)
        print(
            f"  teams {low}..{high - 1}, {quotas[low]} to {quotas[high - 1]} /s: over {oracle.over_share(group, start, end):.2%}, used {oracle.use(used, start, end, sum(quotas[low:high])):.2%}"
        )
    print(f"worst window: team {worst.team}, {worst.requests:.1f} beyond its rate, allowed {worst.depth:.1f}")
    waits = sorted(trial.waits)
    print(
        f"wait for a decision ms: p50 {waits[len(waits) // 2] / 1000:.1f}, p99 {waits[int(len(waits) * 0.99)] / 1000:.1f}, most {waits[-1] / 1000:.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--dispatchers", type=int, default=200)
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--warm", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kill-owner", action="store_true")
    parser.add_argument("--filled", action="store_true", help="start with full buckets, as after minutes")
    options = parser.parse_args()
    trial = Trial(options)
    network = trial.network
    trial.start()
    started, cpu_start = network.now, time.process_time()
    if options.filled:
        network.run(started + int((ELECTION_S + scenarios.FILLING_S) * SECOND))
        trial.set_quotas()
    network.run(started + int(options.warm * SECOND))
    network.messages.clear()
    trial.decisions.clear()
    trial.waits.clear()
    if options.kill_owner:
        victim = trial.places[0].controller
        network.kill(victim)
    network.run(started + int((options.warm + options.seconds) * SECOND))
    print(f"{options} ({time.process_time() - cpu_start:.0f} s of CPU)")
    report(trial, started / SECOND + options.warm, network.now / SECOND)
    for kind, number in sorted(network.messages.items()):
        print(f"  {kind}: {number / options.seconds:.1f}/s in all")


if __name__ == "__main__":
    main()
