"""The commands `serve` and `check-config`: start-up, signals and shutdown of a dispatcher process."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Coroutine
from enum import IntEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from tornado.ioloop import IOLoop

from badgerroad import __version__, startup_signals
from badgerroad.config import Config, ConfigError, check_config, load, parse, read_config_file, reload
from badgerroad.dispatcher import Dispatcher
from badgerroad.errors import ListenError
from badgerroad.memory_monitor import MemoryMonitor
from badgerroad.net import logs
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import Clock, TimerWheel
from badgerroad.operator_limits import apply_limits

if TYPE_CHECKING:
    from badgerroad.admin.listener import Listener
    from badgerroad.fleet.extension import QuotaExtension
    from badgerroad.hot_restart.process import HotRestart
    from badgerroad.multiprocess.server_process import ServerProcess
    from badgerroad.multiprocess.startup import StartParameters
    from badgerroad.operator.schema import Operator

log = logs.get("badgerroad")

# A predecessor to which this process relays job events is killed within this time after its SIGTERM, so job events need
# not be relayed for longer.
PREDECESSOR_LIFETIME_US = 3_000_000
NEW_CONNECTIONS_GRACE_US = 800_000  # time after SIGTERM for which clients may open new connections
SHUTDOWN_CHECK_INTERVAL_US = 20_000
PROCESS_VARIABLE = "BADGERROAD_SERVER_PROCESS"  # set in the environment of the server processes that `--workers` starts
UNNAMED_OPERATOR_FILE = "the operator's file"  # used in errors if only another process knows the path of that file
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class ExitCode(IntEnum):
    """Exit codes of `serve` and `check-config`."""

    OK = 0
    CANNOT_LISTEN = 1
    BAD_CONFIG = 2


def assemble(config: Config, wheel: TimerWheel, counted: bool = False) -> tuple[Dispatcher, Listener | None]:
    """Create the dispatcher and, if one is configured, the admin listener, which is imported only then. With `counted`,
    keep counts even without an admin listener, because the supervisor's admin listener shows their sums."""
    if config.admin is None and not counted:
        return Dispatcher(config, wheel), None
    from badgerroad.admin.counters import Counters

    counts = Counters(request_class.name for request_class in config.settings.classes)
    if config.admin is None:
        return Dispatcher(config, wheel, counts), None
    from badgerroad.admin.listener import RESERVED_DESCRIPTORS, Listener

    dispatcher = Dispatcher(config, wheel, counts, RESERVED_DESCRIPTORS)
    return dispatcher, Listener(wheel, lambda: dispatcher.accepts_clients, dispatcher.metrics)


def check_fleet(config: Config, operator: Operator | None, operator_file: str | None) -> None:
    """Raise ConfigError if the operator's file has a `[fleet]` table that is invalid or not permitted."""
    if operator is not None and operator.fleet is not None:
        from badgerroad.fleet import joining

        joining.check(config, operator.fleet, operator_file or UNNAMED_OPERATOR_FILE)


def join_fleet(dispatcher: Dispatcher, operator: Operator | None, operator_file: str | None) -> QuotaExtension | None:
    """Join the fleet's shared quotas. Without a `[fleet]` table no code for them is imported. Raises ConfigError."""
    if operator is None or operator.fleet is None:
        return None
    from badgerroad.fleet import joining

    return joining.join(dispatcher, operator.fleet, operator_file or UNNAMED_OPERATOR_FILE)


class DispatcherProcess:
    """A dispatcher process, from its start-up to the end of its graceful shutdown; controlled by signals."""

    def __init__(
        self, config: Config, operator: Operator | None, operator_file: str | None, parameters: StartParameters | None
    ) -> None:
        """Assemble the process. `parameters` come from the supervisor, if this is one of several server processes.
        Raises ConfigError."""
        self._config = config
        self._operator = operator
        self._operator_file = operator_file
        self._parameters = parameters
        self._wheel = TimerWheel(Clock(), IOLoop.current())
        self._dispatcher, self._admin = assemble(config, self._wheel, counted=parameters is not None)
        apply_limits(self._dispatcher, operator)
        self._memory_monitor = MemoryMonitor(self._dispatcher, self._wheel)
        self._quotas = join_fleet(self._dispatcher, operator, operator_file)
        self._hot_restart: HotRestart | None = None
        self._server_process: ServerProcess | None = None
        self._stopped_at_us: int | None = None
        self._done = asyncio.Event()

    async def run(self) -> int:
        """Serve until a signal ends the process; return the exit code. Raises ListenError."""
        self._install_signals()
        self._memory_monitor.start()
        self._start_admin()
        if self._server_process is not None and not await self._permitted_to_listen(self._server_process):
            return ExitCode.OK
        await self._listen()
        with contextlib.ExitStack() as resources:
            self._close_with(resources)
            await self._done.wait()
            # Closing the event loop restores the default signal handlers, with which a signal would kill the process
            # before it has exited cleanly.
            signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        log.info("stopped")
        return ExitCode.OK

    def stop(self) -> None:
        """Begin the graceful shutdown. Further calls have no effect."""
        if self._stopped_at_us is not None:
            return
        self._stopped_at_us = self._wheel.clock.now()
        log.info("stopping")
        if self._hot_restart is not None:
            self._hot_restart.terminate()
        else:
            self._dispatcher.drain()
        self._check_shutdown(self._stopped_at_us)

    def reload(self) -> None:
        """Reload the configuration and the operator's file. If one of them is invalid, only the log settings may
        change."""
        counts = self._dispatcher.counts
        try:
            config = reload(os.environ, self._dispatcher.config)
            operator = self._reload_operator_file()
        except ConfigError as error:
            log.error("reload_failed", **error.fields)
            if counts:
                counts.failed_reloads += 1
            return
        self._dispatcher.reload(config)
        if operator is not None:
            self._apply_operator(operator)
        if counts:
            counts.reloads += 1

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        if self._parameters is not None:
            # The supervisor reads the configuration, so only the supervisor handles SIGHUP.
            from badgerroad.multiprocess.server_process import ServerProcess

            self._server_process = ServerProcess(self._parameters, self._dispatcher, self._wheel, self.stop)
            return
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for _ in range(startup_signals.reload_count):
            loop.call_soon(self.reload)

    def _start_admin(self) -> None:
        """Open the admin listener, before this process takes over anything from a predecessor."""
        if self._admin is None or self._config.admin is None:
            return
        try:
            self._admin.listen(self._config.admin)
        except OSError as error:
            raise ListenError("ops", self._config.admin, error) from error
        from badgerroad.hot_restart.process import HotRestart

        self._hot_restart = HotRestart(self._dispatcher, self._wheel, os.environ.get("TMPDIR") or "/tmp")

    async def _permitted_to_listen(self, server_process: ServerProcess) -> bool:
        """Wait for the supervisor's permission to listen. Returns False if the shutdown came first."""
        await asyncio.wait(
            [asyncio.ensure_future(server_process.may_listen.wait()), asyncio.ensure_future(self._done.wait())],
            return_when=asyncio.FIRST_COMPLETED,
        )
        return not self._done.is_set()

    async def _listen(self) -> None:
        try:
            host, port = await self._start_dispatcher()
        except OSError as error:
            raise ListenError("listen", self._config.listen, error) from error
        discovery_host, discovery_port = self._config.discovery
        log.info(
            "listening",
            name=self._config.name,
            version=__version__,
            address=f"{host}:{port}",
            discovery=f"{discovery_host}:{discovery_port}",
        )
        if self._server_process is not None:
            self._server_process.report_listening()

    async def _start_dispatcher(self) -> Address:
        if self._hot_restart is not None:
            return await self._hot_restart.begin()
        return self._dispatcher.start(shared=self._server_process is not None)

    def _close_with(self, resources: contextlib.ExitStack) -> None:
        """Register the components to be closed at the end, in reverse order: quota leases are returned first, while all
        other components still work."""
        for resource in (
            self._dispatcher,
            self._server_process,
            self._hot_restart,
            self._admin,
            self._quotas,
            self._memory_monitor,
        ):
            if resource is not None:
                resources.callback(resource.close)

    def _check_shutdown(self, stopped_at_us: int) -> None:
        """End the process once all clients have been served; checked periodically."""
        if self._may_end(self._wheel.clock.now() - stopped_at_us):
            self._done.set()
        else:
            self._wheel.after(SHUTDOWN_CHECK_INTERVAL_US, lambda: self._check_shutdown(stopped_at_us))

    def _may_end(self, elapsed_us: int) -> bool:
        """Return whether no client needs this process any more, `elapsed_us` after the shutdown began. Closes the
        client connections that no successor takes over."""
        dispatcher, hot_restart = self._dispatcher, self._hot_restart
        if dispatcher.has_pending_responses:
            return False
        if hot_restart is not None and hot_restart.peers.relays_job_events and elapsed_us < PREDECESSOR_LIFETIME_US:
            return False
        if hot_restart is not None and hot_restart.finishing and dispatcher.frontend.successor is not None:
            return hot_restart.may_end(elapsed_us)
        return elapsed_us >= NEW_CONNECTIONS_GRACE_US and dispatcher.end_client_connections()

    def _reload_operator_file(self) -> Operator | None:
        if self._operator_file is None:
            return None
        operator = _load_operator(self._operator_file)
        logs.configure(operator.log)
        return operator

    def _apply_operator(self, operator: Operator) -> None:
        apply_limits(self._dispatcher, operator)
        if self._operator is not None and operator.fleet != self._operator.fleet:
            log.warning("setting_needs_restart", field="fleet")


async def serve(
    config: Config, operator: Operator | None, operator_file: str | None, parameters: StartParameters | None = None
) -> int:
    """Run a dispatcher process to its end and return its exit code. Raises ConfigError."""
    return await _exit_code_of(DispatcherProcess(config, operator, operator_file, parameters).run())


async def _exit_code_of(process: Coroutine[Any, Any, int]) -> int:
    try:
        return await process
    except ListenError as error:
        print(f"badgerroad: {error.line}", file=sys.stderr)
        return ExitCode.CANNOT_LISTEN


class _StartConfiguration(NamedTuple):
    """The configuration that a process starts with, read and checked."""

    config: Config
    operator: Operator | None
    parameters: StartParameters | None  # from the supervisor, if this is one of several server processes
    # The text of the configuration file, which a supervisor passes on; empty if this process is not a supervisor.
    text: bytes


def main(check_only: bool, operator_file: str | None, verbose: bool, workers: int = 1) -> int:
    """Serve, or with `check_only` print a summary of the configuration; return the exit code."""
    try:
        start = _read_configuration(operator_file, workers)
        check_fleet(start.config, start.operator, operator_file)
    except ConfigError as error:
        print(f"badgerroad: {error.line}", file=sys.stderr)
        return ExitCode.BAD_CONFIG
    if check_only:
        _print_summary(start.config, start.operator, operator_file)
        return ExitCode.OK
    _configure_logs(start, verbose)
    gc.freeze()  # objects created at start-up live as long as the process, so the garbage collector need not scan them
    if workers > 1 and start.parameters is None:
        from badgerroad.multiprocess.supervisor import SupervisorOptions, supervise

        options = SupervisorOptions(workers, start.config, start.text, start.operator, operator_file, verbose)
        return asyncio.run(_exit_code_of(supervise(options)))
    return asyncio.run(serve(start.config, start.operator, operator_file, start.parameters))


def _read_configuration(operator_file: str | None, workers: int) -> _StartConfiguration:
    operator = _load_operator(operator_file) if operator_file is not None else None
    if PROCESS_VARIABLE in os.environ:
        from badgerroad.multiprocess.startup import StartParameters

        parameters = StartParameters.receive(os.environ)
        return _StartConfiguration(parameters.config, parameters.operator, parameters, b"")
    if workers <= 1:
        return _StartConfiguration(load(os.environ), operator, None, b"")
    from badgerroad.multiprocess.startup import ProcessIndex

    text = read_config_file(os.environ)
    config = check_config(parse(text, os.environ.get("PROXY_CONFIG", "")), os.environ)
    ProcessIndex(0, workers).share_of(config)  # raises ConfigError if there are too few descriptors for all processes
    return _StartConfiguration(config, operator, None, text)


def _load_operator(path: str) -> Operator:
    # Imported only if there is an operator's file, because the import costs memory and start-up time.
    from badgerroad.operator.schema import load as load_operator

    return load_operator(path)


def _print_summary(config: Config, operator: Operator | None, operator_file: str | None) -> None:
    host, port = config.listen
    print(
        f"{config.name}: {len(config.settings.classes)} classes, {len(config.cached_endpoints['hosts'])} known hosts, "
        f"{config.max_sockets} sockets; listens on {host}:{port}"
    )
    if operator is None:
        return
    print(f"{operator_file}: log {operator.log.format} at {operator.log.level}")
    if operator.fleet is not None:
        print(f"{operator_file}: quotas are shared by the fleet")


def _configure_logs(start: _StartConfiguration, verbose: bool) -> None:
    settings = start.operator.log if start.operator is not None else logs.LogSettings()
    if start.parameters is not None:
        logs.configure(settings, debug=verbose, process=start.parameters.process_index.number)
    else:
        logs.configure(settings, debug=verbose)
