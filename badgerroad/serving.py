"""`serve` and `check-config`: the life of a dispatcher process."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from tornado.ioloop import IOLoop

from badgerroad import __version__, startup_signals
from badgerroad.config import Config, ConfigError, load, parse, read, reload, text_of
from badgerroad.dispatcher import Dispatcher
from badgerroad.errors import ListenError
from badgerroad.net import logs
from badgerroad.net.timer_wheel import Clock, TimerWheel
from badgerroad.operator_limits import limit

if TYPE_CHECKING:
    from badgerroad.admin.listener import Listener
    from badgerroad.fleet.extension import QuotaExtension
    from badgerroad.hot_restart.process import HotRestart
    from badgerroad.multiprocess.server_process import ServerProcess
    from badgerroad.multiprocess.startup import StartParameters

log = logs.get("badgerroad")

BETWEEN = 3_000_000  # an older process, through which this one passes call-backs, is killed sooner than so long after
GRACE = 800_000  # after SIGTERM new connections keep coming for a while
CHECK = 20_000
PROCESS_VARIABLE = (
    "BADGERROAD_SERVER_PROCESS"  # in the environment of a process that the supervisor of several has started
)
OPERATORS_FILE = "the operator's file"  # in errors, where its path is known to another process only
OK, CANNOT_LISTEN, BAD_CONFIG = 0, 1, 2  # exit codes


def assemble(config: Config, wheel: TimerWheel, counted: bool = False) -> tuple[Dispatcher, Listener | None]:
    """The dispatcher, and the second address where there is one; else nothing of that is imported, but for the counts
    of one that is `counted` elsewhere."""
    if config.admin is None and not counted:
        return Dispatcher(config, wheel), None
    from badgerroad.admin.counters import Counters

    if config.admin is None:
        return Dispatcher(config, wheel, Counters(c.name for c in config.settings.classes)), None
    from badgerroad.admin.listener import RESERVED_DESCRIPTORS, Listener

    dispatcher = Dispatcher(config, wheel, Counters(c.name for c in config.settings.classes), RESERVED_DESCRIPTORS)
    return dispatcher, Listener(wheel, lambda: dispatcher.accepts_clients, dispatcher.metrics)


def check_fleet(config: Config, operator: Any, operator_file: str | None) -> None:
    """Raises ConfigError where the operator's file has a `[fleet]` that is wrong or not permitted."""
    if operator is not None and operator.fleet is not None:
        from badgerroad.fleet import joining

        joining.check(config, operator.fleet, operator_file or OPERATORS_FILE)


def join_fleet(dispatcher: Dispatcher, operator: Any, operator_file: str | None) -> QuotaExtension | None:
    """None without a `[fleet]` in the operator's file: nothing of the fleet is imported then. Raises ConfigError."""
    if operator is None or operator.fleet is None:
        return None
    from badgerroad.fleet import joining

    return joining.join(dispatcher, operator.fleet, operator_file or OPERATORS_FILE)


async def serve(config: Config, operator: Any, operator_file: str | None, joined: StartParameters | None = None) -> int:
    """The exit code."""
    return await _to_its_end(_serve(config, operator, operator_file, joined))


async def _to_its_end(process: Coroutine[Any, Any, int]) -> int:
    try:
        return await process
    except ListenError as e:
        print(f"badgerroad: {e.line}", file=sys.stderr)
        return CANNOT_LISTEN


async def _serve(config: Config, operator: Any, operator_file: str | None, joined: StartParameters | None) -> int:
    """Raises ListenError."""
    wheel = TimerWheel(Clock(), IOLoop.current())
    dispatcher, ops = assemble(config, wheel, counted=joined is not None)
    limit(dispatcher, operator)
    quotas = join_fleet(dispatcher, operator, operator_file)
    hot_restart: HotRestart | None = None
    process: ServerProcess | None = None
    done = asyncio.Event()

    def check(since: int) -> None:
        after = wheel.clock.now() - since
        finishing = hot_restart is not None and hot_restart.finishing and dispatcher.frontend.successor is not None
        # Clients whose connections go to another process need no grace here, but each connection has to get there.
        wait = dispatcher.frontend.has_connections_to_pass and after < GRACE if finishing else after < GRACE
        if hot_restart is not None and hot_restart.peers.relays_job_events and after < BETWEEN:
            wait = True
        # Where another process has the clients, none of them is ended for the end of this one.
        if dispatcher.has_pending_responses or wait or not finishing and not dispatcher.end_client_connections():
            wheel.after(CHECK, lambda: check(since))
        else:
            done.set()

    stopping = False

    def stop() -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            log.info("stopping: answering what is owed")
            if hot_restart is not None:
                hot_restart.terminate()
            else:
                dispatcher.drain()
            check(wheel.clock.now())

    def reread() -> None:
        try:
            fresh = reload(os.environ, dispatcher.config)
            if operator_file is not None:
                from badgerroad.operator.schema import load as load_operator

                operator_now = load_operator(operator_file)
                logs.configure(operator_now.log)
        except ConfigError as e:
            log.error("reload failed; the old configuration stays in force", **e.fields)
            if dispatcher.counts:
                dispatcher.counts.failed_reloads += 1
        else:
            dispatcher.reload(fresh)
            if operator_file is not None:
                limit(dispatcher, operator_now)
                if operator_now.fleet != operator.fleet:
                    log.warning("reload: takes effect at the next start", field="fleet")
            if dispatcher.counts:
                dispatcher.counts.reloads += 1

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    if joined is not None:
        # The supervisor reads the file, and SIGHUPs are its own.
        from badgerroad.multiprocess.server_process import ServerProcess

        process = ServerProcess(joined, dispatcher, wheel, stop)
    else:
        loop.add_signal_handler(signal.SIGHUP, reread)
        for _ in range(startup_signals.reload_count):
            loop.call_soon(reread)
    if ops is not None and config.admin is not None:
        try:
            ops.listen(config.admin)  # before anything is taken from another process
        except OSError as e:
            raise ListenError("ops", config.admin, e) from e
        from badgerroad.hot_restart.process import HotRestart

        hot_restart = HotRestart(dispatcher, wheel, os.environ.get("TMPDIR") or "/tmp")
    if process is not None:
        await asyncio.wait(
            [asyncio.ensure_future(process.may_listen.wait()), asyncio.ensure_future(done.wait())],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if done.is_set():
            return OK  # told to end before it has begun
    try:
        host, port = await hot_restart.begin() if hot_restart is not None else dispatcher.start(process is not None)
    except OSError as e:
        raise ListenError("listen", config.listen, e) from e
    log.info(
        "listening",
        name=config.name,
        version=__version__,
        address=f"{host}:{port}",
        discovery=f"{config.discovery[0]}:{config.discovery[1]}",
    )
    if process is not None:
        process.report_listening()
    await done.wait()
    # The loop's end restores what signals do by themselves: one that comes then must not turn the exit into a crash.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    if quotas is not None:
        quotas.close()
    if ops is not None:
        ops.close()
    if hot_restart is not None:
        hot_restart.close()
    if process is not None:
        process.close()
    dispatcher.close()
    log.info("stopped")
    return OK


def main(check_only: bool, operator_file: str | None, verbose: bool, workers: int = 1) -> int:
    operator: Any = None
    joined: StartParameters | None = None
    text = b""
    try:
        if operator_file is not None:
            # Not imported where no such file is given: it costs memory and a part of the start.
            from badgerroad.operator.schema import load as load_operator

            operator = load_operator(operator_file)
        if PROCESS_VARIABLE in os.environ:
            from badgerroad.multiprocess.startup import StartParameters

            joined = StartParameters.receive(os.environ)
            config, operator = joined.config, joined.operator
        elif workers > 1:
            from badgerroad.multiprocess.startup import ProcessIndex

            text = text_of(os.environ)
            config = read(parse(text, os.environ.get("PROXY_CONFIG", "")), os.environ)
            ProcessIndex(0, workers).share_of(config)  # is there enough for each?
        else:
            config = load(os.environ)
        check_fleet(config, operator, operator_file)
    except ConfigError as e:
        print(f"badgerroad: {e.line}", file=sys.stderr)
        return BAD_CONFIG
    if check_only:
        print(
            f"{config.name}: {len(config.settings.classes)} classes, "
            f"{len(config.cached_endpoints['hosts'])} known hosts, "
            f"{config.max_sockets} sockets; listens on {config.listen[0]}:{config.listen[1]}"
        )
        if operator is not None:
            print(f"{operator_file}: log {operator.log.format} at {operator.log.level}")
            if operator.fleet is not None:
                print(f"{operator_file}: quotas are shared by the fleet")
        return OK
    choice = operator.log if operator is not None else logs.LogSettings()
    if joined is not None:
        logs.configure(choice, debug=verbose, process=joined.process_index.number)
    else:
        logs.configure(choice, debug=verbose)
    gc.freeze()  # what start-up made stays: the collector need not look at it again
    if workers > 1 and joined is None:
        from badgerroad.multiprocess.supervisor import SupervisorOptions, supervise

        options = SupervisorOptions(workers, config, text, operator, operator_file, verbose)
        return asyncio.run(_to_its_end(supervise(options)))
    return asyncio.run(serve(config, operator, operator_file, joined))
