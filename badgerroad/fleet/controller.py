"""`badgerroad control`: the process of one controller. It runs ControllerRules on sockets and the monotonic clock."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from random import Random

from badgerroad import startup_signals
from badgerroad.config import ConfigError
from badgerroad.errors import ListenError
from badgerroad.fleet import table
from badgerroad.fleet.connections import ROLE_CONTROLLER, Connections, new_incarnation
from badgerroad.fleet.messages import VERSION, Hello, Message
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.settings import Controller, FleetSettings
from badgerroad.net import logs
from badgerroad.operator.schema import Fleet, Operator, load

log = logs.get("badgerroad")

OK, CANNOT_LISTEN, BAD_CONFIG = 0, 1, 2  # exit codes
DRAIN_LIMIT_S = 5.0  # from SIGTERM until the process ends even if something is still held
FLUSH_LIMIT_S = 0.5  # and for the last messages to go
DRAIN_POLL_INTERVAL_S = 0.02  # how often it is looked whether that is done
FIGURES_INTERVAL_S = 10.0  # between two lines of figures


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class ControllerProcess:
    """One controller. It owns its rules, its connections and the ticks, from `start` to the end of `run`."""

    def __init__(self, settings: FleetSettings, me: Controller, quotas: Mapping[str, float], random: Random) -> None:
        self.settings, self.me = settings, me
        incarnation = new_incarnation()
        self.rules = ControllerRules(settings, me.name, incarnation, monotonic_us(), random)
        self.rules.set_quotas(monotonic_us(), quotas)
        hello = Hello(VERSION, me.name, me.zone, ROLE_CONTROLLER, incarnation)
        addresses = {c.name: (c.host, c.port) for c in settings.controllers}
        self.connections = Connections(hello, addresses, self, random)
        self._stopping = asyncio.Event()

    def start(self) -> None:
        """Be reachable, and reach the others. Raises ListenError."""
        self.connections.listen((self.me.host, self.me.port))
        self.connections.connect_controllers()

    def stop(self) -> None:
        """What a SIGTERM does: give back what is held, then end."""
        self._stopping.set()

    async def run(self) -> None:
        """Until `stop` has been called and all is given back, or DRAIN_LIMIT_S is over."""
        ticks = asyncio.ensure_future(self._tick())
        figures = asyncio.ensure_future(self._log_figures())
        try:
            await self._stopping.wait()
            await self._drain()
        finally:
            ticks.cancel()
            figures.cancel()
            self.connections.close()

    # What the connections report.

    def received(self, sender: Peer, message: Message) -> None:
        try:
            self._send(self.rules.receive(monotonic_us(), sender, message))
        except Exception:
            log.exception("fleet: unexpected exception on a message", peer=sender.name)

    def lost(self, name: str) -> None:
        self.rules.peer_lost(monotonic_us(), name)

    # What the rules want.

    def _send(self, actions: Iterable[SendMessage]) -> None:
        for action in actions:
            if action.to == self.me.name:
                # The rules are told from the loop: they are not entered while another call of theirs is performed.
                asyncio.get_running_loop().call_soon(self._receive_own, action.message)
            else:
                self.connections.send(action.to, action.message)

    def _receive_own(self, message: Message) -> None:
        self.received(Peer(self.me.name, self.connections.hello.incarnation), message)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self.settings.tick_ms / 1000)
            try:
                self._send(self.rules.tick(monotonic_us()))
            except Exception:
                log.exception("fleet: unexpected exception in a tick")

    async def _drain(self) -> None:
        log.info("stopping: giving back what is held")
        self.connections.stop_listening()
        self._send(self.rules.drain(monotonic_us()))
        whole = await _until(lambda: self.rules.drained(monotonic_us()), DRAIN_LIMIT_S)
        await _until(lambda: self.connections.flushed, FLUSH_LIMIT_S)
        log.info("stopped", all_given_back=whole)

    # Figures.

    async def _log_figures(self) -> None:
        while True:
            await asyncio.sleep(FIGURES_INTERVAL_S)
            self.log_figures()

    def log_figures(self) -> None:
        figures = self.rules.figures(monotonic_us())
        traffic = self.connections.traffic()
        log.info(
            "fleet figures",
            **table.fields_of(figures),
            **table.fields_of(traffic),
            peers=len(self.connections.names),
            cpu_s=round(time.process_time(), 3),
        )


async def _until(condition: Callable[[], bool], limit_s: float) -> bool:
    """Wait for it; False: the limit came first."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    return True


class Reloader:
    """What a SIGHUP does: the operator's file and the quotas file read anew, as a whole or not at all."""

    def __init__(
        self, operator_file: str, present: Fleet, settings: FleetSettings, controller: ControllerProcess
    ) -> None:
        self._file, self._present, self._settings, self._controller = operator_file, present, settings, controller

    def reload(self) -> None:
        try:
            operator, fleet = read_operator(self._file)
            settings = table.settings_of(fleet, self._file)
            quotas = table.quotas_of(fleet)
        except ConfigError as e:
            log.error("reload failed; the old configuration stays in force", **e.fields)
            return
        self._say_what_waits(fleet, settings)
        logs.configure(operator.log, controller=self._controller.me.name)
        self._controller.rules.set_quotas(monotonic_us(), quotas)
        log.info("reload", teams=len(quotas))

    def _say_what_waits(self, fleet: Fleet, settings: FleetSettings) -> None:
        """The membership and the times are those of the start: all processes of the fleet must agree on them."""
        names = settings.__struct_fields__
        changed = [name for name in names if getattr(settings, name) != getattr(self._settings, name)]
        if fleet.name != self._present.name:
            changed.append("name")
        for name in changed:
            log.warning("reload: takes effect at the next start", field=f"fleet.{name}")


def read_operator(operator_file: str) -> tuple[Operator, Fleet]:
    """Raises ConfigError, also where the file has no `[fleet]`."""
    operator = load(operator_file)
    if operator.fleet is None:
        raise ConfigError(f"{operator_file}: fleet: missing; a controller needs this table")
    return operator, operator.fleet


async def control(controller: ControllerProcess, reloader: Reloader) -> int:
    """Until SIGTERM; the exit code."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, controller.stop)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    for _ in range(startup_signals.reload_count):
        loop.call_soon(reloader.reload)
    try:
        controller.start()
    except ListenError as e:
        controller.connections.close()
        print(f"badgerroad: {e.line}", file=sys.stderr)
        return CANNOT_LISTEN
    me = controller.me
    log.info("listening", name=me.name, zone=me.zone, region=me.region, address=f"{me.host}:{me.port}", voter=me.voter)
    await controller.run()
    # The loop's end restores what signals do by themselves: one that comes then must not turn the exit into a crash.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    return OK


def main(operator_file: str, verbose: bool) -> int:
    """The exit code."""
    try:
        operator, fleet = read_operator(operator_file)
        settings = table.settings_of(fleet, operator_file)
        quotas = table.quotas_of(fleet)
        me = table.controller_of(fleet, settings, operator_file)
    except ConfigError as e:
        print(f"badgerroad: {e.line}", file=sys.stderr)
        return BAD_CONFIG
    logs.configure(operator.log, debug=verbose, controller=me.name)
    controller = ControllerProcess(settings, me, quotas, Random(os.urandom(16)))
    gc.freeze()  # what start-up made stays: the collector need not look at it again
    return asyncio.run(control(controller, Reloader(operator_file, fleet, settings, controller)))
