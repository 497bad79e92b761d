"""The process of one controller (`badgerroad control`): runs ControllerRules on sockets and the monotonic clock."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
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

DRAIN_TIMEOUT_S = 5.0  # time from SIGTERM after which the process ends even if credit is not returned
FLUSH_TIMEOUT_S = 0.5  # additional time after draining for writing the last messages to the sockets
DRAIN_POLL_INTERVAL_S = 0.02  # time between two checks whether draining or flushing is complete
STATISTICS_INTERVAL_S = 10.0  # time between two log lines of statistics


class ExitCode(IntEnum):
    """Exit codes of `badgerroad control`."""

    OK = 0
    CANNOT_LISTEN = 1
    BAD_CONFIG = 2


def monotonic_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class ControllerProcess:
    """One controller process. It owns its rules, its connections and its periodic tasks until `run` ends."""

    def __init__(
        self, settings: FleetSettings, identity: Controller, quotas: Mapping[str, float], random: Random
    ) -> None:
        """Create the rules with the quotas (requests per second by team). No sockets are opened yet."""
        self.settings = settings
        self.identity = identity
        incarnation = new_incarnation()
        self.rules = ControllerRules(settings, identity.name, incarnation, monotonic_us(), random)
        self.rules.set_quotas(monotonic_us(), quotas)
        hello = Hello(VERSION, identity.name, identity.zone, ROLE_CONTROLLER, incarnation)
        addresses = {controller.name: (controller.host, controller.port) for controller in settings.controllers}
        self.connections = Connections(hello, addresses, self, random)
        self._stopping = asyncio.Event()

    def start(self) -> None:
        """Listen and connect to other controllers. Raises ListenError."""
        self.connections.listen((self.identity.host, self.identity.port))
        self.connections.connect_controllers()

    def stop(self) -> None:
        """Begin a graceful shutdown, as SIGTERM does."""
        self._stopping.set()

    async def run(self) -> None:
        """Run until `stop` was called and either all credit is returned or DRAIN_TIMEOUT_S has passed."""
        ticks = asyncio.ensure_future(self._tick())
        statistics = asyncio.ensure_future(self._log_statistics())
        try:
            await self._stopping.wait()
            await self._drain()
        finally:
            ticks.cancel()
            statistics.cancel()
            self.connections.close()

    # Events of connections

    def received(self, sender: Peer, message: Message) -> None:
        """Pass a message to the rules. Exceptions are logged, so that they do not end the connection."""
        try:
            self._send(self.rules.receive(monotonic_us(), sender, message))
        except Exception:
            log.exception("fleet_message_exception", peer=sender.name)

    def lost(self, name: str) -> None:
        """Report the loss of a peer to the rules."""
        self.rules.peer_lost(monotonic_us(), name)

    # Actions of the rules

    def _send(self, actions: Iterable[SendMessage]) -> None:
        for action in actions:
            if action.to == self.identity.name:
                # Scheduled on the event loop, so that the rules are not re-entered while actions are performed.
                asyncio.get_running_loop().call_soon(self._receive_own, action.message)
            else:
                self.connections.send(action.to, action.message)

    def _receive_own(self, message: Message) -> None:
        self.received(Peer(self.identity.name, self.connections.hello.incarnation), message)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self.settings.tick_ms / 1000)
            try:
                self._send(self.rules.tick(monotonic_us()))
            except Exception:
                log.exception("fleet_tick_exception")

    async def _drain(self) -> None:
        log.info("controller_stopping")
        self.connections.stop_listening()
        self._send(self.rules.drain(monotonic_us()))
        all_returned = await _wait_until(lambda: self.rules.drained(monotonic_us()), DRAIN_TIMEOUT_S)
        await _wait_until(lambda: self.connections.flushed, FLUSH_TIMEOUT_S)
        log.info("stopped", all_given_back=all_returned)

    # Statistics

    async def _log_statistics(self) -> None:
        while True:
            await asyncio.sleep(STATISTICS_INTERVAL_S)
            self.log_figures()

    def log_figures(self) -> None:
        """Write one log line of statistics."""
        figures = self.rules.figures(monotonic_us())
        traffic = self.connections.traffic()
        log.info(
            "fleet_statistics",
            **table.fields_of(figures),
            **table.fields_of(traffic),
            peers=len(self.connections.names),
            cpu_s=round(time.process_time(), 3),
        )


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until the condition holds. Returns False if `timeout_s` passed first."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    return True


class Reloader:
    """Handles SIGHUP by reading the operator's file and the quotas file again.

    Both are applied together, or neither if one of them is invalid.
    """

    def __init__(
        self, operator_file: str, current: Fleet, settings: FleetSettings, controller: ControllerProcess
    ) -> None:
        """`current`: the fleet table at the start, to detect changes that need a restart."""
        self._file = operator_file
        self._current = current
        self._settings = settings
        self._controller = controller

    def reload(self) -> None:
        """Read the files and apply the quotas and the log settings. Logs the reason if a file is invalid."""
        try:
            operator, fleet = read_operator(self._file)
            settings = table.settings_of(fleet, self._file)
            quotas = table.quotas_of(fleet)
        except ConfigError as error:
            log.error("reload_failed", **error.fields)
            return
        self._log_settings_that_need_restart(fleet, settings)
        logs.configure(operator.log, controller=self._controller.identity.name)
        self._controller.rules.set_quotas(monotonic_us(), quotas)
        log.info("configuration_reloaded", teams=len(quotas))

    def _log_settings_that_need_restart(self, fleet: Fleet, settings: FleetSettings) -> None:
        """Log changed members and durations, which need a restart.

        All processes of the fleet must agree on them.
        """
        names = settings.__struct_fields__
        changed = [name for name in names if getattr(settings, name) != getattr(self._settings, name)]
        if fleet.name != self._current.name:
            changed.append("name")
        for name in changed:
            log.warning("setting_needs_restart", field=f"fleet.{name}")


def read_operator(operator_file: str) -> tuple[Operator, Fleet]:
    """Read the operator's file. Raises ConfigError, also if the file has no `[fleet]` table."""
    operator = load(operator_file)
    if operator.fleet is None:
        raise ConfigError(f"{operator_file}: fleet: table is missing; a controller requires it")
    return operator, operator.fleet


async def control(controller: ControllerProcess, reloader: Reloader) -> int:
    """Run the controller until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, controller.stop)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    for _ in range(startup_signals.reload_count):
        loop.call_soon(reloader.reload)
    try:
        controller.start()
    except ListenError as error:
        controller.connections.close()
        print(f"badgerroad: {error.line}", file=sys.stderr)
        return ExitCode.CANNOT_LISTEN
    identity = controller.identity
    log.info(
        "listening",
        name=identity.name,
        zone=identity.zone,
        region=identity.region,
        address=f"{identity.host}:{identity.port}",
        voter=identity.voter,
    )
    await controller.run()
    # Closing the loop restores the default signal handlers; a signal that arrives then must not change the exit code.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    return ExitCode.OK


def main(operator_file: str, verbose: bool) -> int:
    """Run `badgerroad control`; return the exit code."""
    try:
        operator, fleet = read_operator(operator_file)
        settings = table.settings_of(fleet, operator_file)
        quotas = table.quotas_of(fleet)
        identity = table.controller_of(fleet, settings, operator_file)
    except ConfigError as error:
        print(f"badgerroad: {error.line}", file=sys.stderr)
        return ExitCode.BAD_CONFIG
    logs.configure(operator.log, debug=verbose, controller=identity.name)
    controller = ControllerProcess(settings, identity, quotas, Random(os.urandom(16)))
    gc.freeze()  # objects created during start-up live as long as the process
    return asyncio.run(control(controller, Reloader(operator_file, fleet, settings, controller)))
