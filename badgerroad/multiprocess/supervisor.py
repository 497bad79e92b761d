"""The supervisor process: starts the server processes, connects them to each other, and serves their summed metrics.

It performs the actions of `multiprocess.rules`. It reads and checks the configuration, and sends its text to the server
processes over their channels, so that all of them have the same one, including those that start later. It owns the
child processes, its ends of the channels, and a socket that is bound to the listening address but does not listen.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from tornado.ioloop import IOLoop

from badgerroad import startup_signals
from badgerroad.config import Config, ConfigError, check_reload, parse, read_config_file
from badgerroad.errors import ListenError
from badgerroad.multiprocess import messages, rules
from badgerroad.multiprocess.metric_sums import MetricSums
from badgerroad.multiprocess.startup import ProcessIndex
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import Clock, Timer, TimerWheel
from badgerroad.net.unix_channel import UnixChannel
from badgerroad.process_messages import Message

if TYPE_CHECKING:
    from badgerroad.admin.listener import Listener
    from badgerroad.operator.schema import Operator

log = logs.get("badgerroad")

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SupervisorOptions(NamedTuple):
    """The command line's options and the contents of the files that it names."""

    size: int  # number of server processes
    config: Config
    text: bytes  # text of the configuration file
    operator: Operator | None  # the operator's file
    operator_file: str | None  # path of the operator's file
    verbose: bool


class ProcessSlot:
    """The operating system's process that runs as one server process at present, and the channel to it."""

    def __init__(self) -> None:
        """Start without a process."""
        self.process: asyncio.subprocess.Process | None = None
        self.channel: UnixChannel | None = None
        self.started = False  # the process has sent its first message
        self.accepts_clients = False
        self._message_timer: Timer | None = None

    @property
    def running(self) -> bool:
        """Whether the process has been started and is not known to have ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, message: Message) -> None:
        """Queue a message; does nothing without a channel."""
        if self.channel is not None:
            self.channel.send(message.kind, message.to_head())

    def send_socket(self, message: Message, sock: socket.socket) -> None:
        """Queue a message with a socket, whose copy in this process is closed once the message has been sent.

        Without a channel, only the socket is closed.
        """
        if self.channel is None:
            sock.close()
        else:
            self.channel.send_socket(message.kind, message.to_head(), sock)

    def expect_message(self, wheel: TimerWheel, timeout_us: int, overdue: Callable[[], None]) -> None:
        """Call `overdue` after `timeout_us`, unless this method or `reset` is called before."""
        if self._message_timer is not None:
            self._message_timer.cancel()
        self._message_timer = wheel.after(timeout_us, overdue, awaits_peer=True)

    def reset(self) -> None:
        """Close the channel of a process that has ended, and forget the process."""
        if self._message_timer is not None:
            self._message_timer.cancel()
        if self.channel is not None:
            self.channel.close()
        self.process = self.channel = None
        self.started = self.accepts_clients = False


class Supervisor:
    """Starts and ends the server processes, connects them to each other and sends them their configuration."""

    def __init__(self, options: SupervisorOptions, wheel: TimerWheel) -> None:
        """Prepare the server processes; `bind` opens the address and `start` starts them."""
        self.options = options
        self.config = options.config
        self.slots = [ProcessSlot() for _ in range(options.size)]
        self.listen = ""  # host and port of the listening address, once it is bound
        self.exit_code: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._text = options.text
        self._operator = options.operator
        self._wheel = wheel
        self._group = rules.ProcessGroup(options.size)
        self._sums = MetricSums(options.size)
        self._sums.add_classes(request_class.name for request_class in self.config.settings.classes)
        self._reloads = 0
        self._failed_reloads = 0

    def bind(self) -> socket.socket:
        """Bind the listening address, so that an address in use is found before any server process starts.

        The server processes get the bound address, with its port. Raises OSError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(self.config.listen)
        except OSError:
            sock.close()
            raise
        self.listen = "{}:{}".format(*sock.getsockname())
        return sock

    def start(self) -> None:
        """Start all server processes."""
        self._perform(self._group.start(self._now()))

    def _now(self) -> int:
        return self._wheel.clock.now()

    def _perform(self, actions: list[rules.Action]) -> None:
        for action in actions:
            match action:
                case rules.Exit(code):
                    if not self.exit_code.done():
                        self.exit_code.set_result(code)
                case rules.Start(number):
                    spawn(self._run(number))
                case rules.StartLater(number, delay_us):
                    log.info("server_process_restart_scheduled", process=number, delay_ms=delay_us // 1000)
                    self._wheel.after(delay_us, partial(self._start_due, number))
                case rules.Kill(number):
                    self._kill(number)
                case rules.Terminate(number):
                    self._terminate(number)

    def _start_due(self, number: int) -> None:
        self._perform(self._group.start_due(self._now(), number))

    def _kill(self, number: int) -> None:
        slot = self.slots[number]
        if slot.process is not None and slot.running:
            log.warning("server_process_silent", process=number, pid=slot.process.pid)
            slot.process.kill()

    def _terminate(self, number: int) -> None:
        slot = self.slots[number]
        if slot.process is not None and slot.running:
            slot.process.terminate()

    async def _run(self, number: int) -> None:
        """Run a server process from its start to its end."""
        slot = self.slots[number]
        own_end, child_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        code: int | None = None
        try:
            slot.channel = UnixChannel(own_end, partial(self._on_message, number), lambda: None)
            slot.send(self._configuration())
            self._expect_message(number, rules.START_TIMEOUT_US)
            process = slot.process = await self._spawn(number, child_end)
            child_end.close()
            if self._group.terminating:
                process.terminate()  # the supervisor was asked to terminate while the process was being started
            code = await process.wait()
            log.info("server_process_ended", process=number, pid=process.pid, code=code)
        except OSError as error:
            log.error("server_process_start_failed", process=number, error=str(error))
        finally:
            child_end.close()
            slot.reset()
            self._sums.process_ended(number)
            self._perform(self._group.process_ended(self._now(), number, code))

    async def _spawn(self, number: int, sock: socket.socket) -> asyncio.subprocess.Process:
        """Start the operating system's process, which inherits `sock`. Raises OSError."""
        environment = {name: value for name, value in os.environ.items() if name != "PROXY_OPS"}
        environment[messages.ENVIRONMENT_VARIABLE] = f"{number}/{len(self.slots)}/{sock.fileno()}"
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgerroad",
            "serve",
            *["--verbose"] * self.options.verbose,
            env=environment,
            pass_fds=[sock.fileno()],
        )

    def _expect_message(self, number: int, timeout_us: int) -> None:
        self.slots[number].expect_message(
            self._wheel, timeout_us, lambda: self._perform(self._group.message_overdue(number))
        )

    def _configuration(self) -> messages.Configuration:
        return messages.Configuration(self._text.decode(), self._reloads > 0, self.listen, self._operator)

    def _on_message(self, number: int, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        self._expect_message(number, rules.MISSING_HEARTBEAT_US)
        message_type = messages.FROM_SERVER_PROCESS.get(kind)
        if message_type is None:
            return
        match message_type.from_head(head):
            case messages.Started(pid):
                self._on_started(number, pid)
            case messages.Listening():
                self._group.process_listening(number)
            case messages.Metrics(metrics, accepts_clients):
                self._sums.update(number, metrics)
                self.slots[number].accepts_clients = accepts_clients
            case messages.PeerLost(other):
                self._connect(number, other)

    def _on_started(self, number: int, pid: int) -> None:
        log.info("server_process_started", process=number, pid=pid)
        slot = self.slots[number]
        slot.started = True
        for other in range(len(self.slots)):
            self._connect(number, other)
        slot.send(messages.PeersConnected())

    def _connect(self, first: int, second: int) -> None:
        """Send two running server processes a channel to each other, in place of an earlier channel."""
        slots = self.slots[first], self.slots[second]
        if first == second or not all(slot.started and slot.channel is not None for slot in slots):
            return  # the two processes are connected once both have started
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for slot, peer, sock in zip(slots, (second, first), ends, strict=True):
            slot.send_socket(messages.PeerChannel(peer), sock)

    def reload(self) -> None:
        """Read the files again on SIGHUP, check them completely, and send them to the running server processes.

        Server processes that start later get the new content at their start. Invalid files change nothing.
        """
        try:
            text = read_config_file(os.environ)
            config = check_reload(parse(text, os.environ.get("PROXY_CONFIG", "")), os.environ, self.config)
            ProcessIndex(0, len(self.slots)).share_of(config)
            operator = _load_operator(self.options.operator_file)
        except ConfigError as error:
            log.error("reload_failed", **error.fields)
            self._failed_reloads += 1
            return
        self.config, self._text, self._operator = config, text, operator
        self._reloads += 1
        self._sums.add_classes(request_class.name for request_class in config.settings.classes)
        if operator is not None:
            logs.configure(operator.log)
        for slot in self.slots:
            slot.send(self._configuration())

    def terminate(self) -> None:
        """Terminate all server processes on SIGTERM; they answer their open requests and exit."""
        log.info("stopping")
        self._perform(self._group.terminate())

    def ready(self) -> bool:
        """Whether some server process accepts clients."""
        return not self._group.terminating and any(slot.accepts_clients for slot in self.slots)

    def metrics(self) -> dict[str, Any]:
        """Return the metrics summed over all server processes, and the counts of reloads."""
        return {**self._sums.totals(), "conf_loaded": self._reloads, "conf_invalid": self._failed_reloads}


def _load_operator(path: str | None) -> Operator | None:
    """Load the operator's file. Imports the modules that read it only if there is such a file. Raises ConfigError."""
    if path is None:
        return None
    from badgerroad.operator.schema import load

    return load(path)


def _listen_for_admin(supervisor: Supervisor, wheel: TimerWheel, address: Address) -> Listener:
    """Open the admin listener. Raises ListenError."""
    from badgerroad.admin.listener import Listener

    listener = Listener(wheel, supervisor.ready, supervisor.metrics)
    try:
        listener.listen(address)
    except OSError as error:
        raise ListenError("ops", address, error) from error
    return listener


def _handle_signals(supervisor: Supervisor) -> None:
    loop = asyncio.get_running_loop()
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, supervisor.terminate)
    loop.add_signal_handler(signal.SIGHUP, supervisor.reload)
    for _ in range(startup_signals.reload_count):
        loop.call_soon(supervisor.reload)


async def supervise(options: SupervisorOptions) -> int:
    """Run the server processes until SIGTERM has ended them all; returns the exit code. Raises ListenError."""
    config = options.config
    wheel = TimerWheel(Clock(), IOLoop.current())
    supervisor = Supervisor(options, wheel)
    _handle_signals(supervisor)
    admin = None if config.admin is None else _listen_for_admin(supervisor, wheel, config.admin)
    try:
        bound = supervisor.bind()
    except OSError as error:
        raise ListenError("listen", config.listen, error) from error
    with bound:
        log.info("listening", name=config.name, address=supervisor.listen, server_processes=options.size)
        supervisor.start()
        code = await supervisor.exit_code
        # The loop's end restores the default handlers; a signal that arrives after that must not kill the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, (*TERMINATION_SIGNALS, signal.SIGHUP))
        if admin is not None:
            admin.close()
    log.info("stopped")
    return code
