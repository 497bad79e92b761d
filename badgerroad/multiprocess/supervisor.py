"""The process above the server processes: it does what `multiprocess.rules` says, and shows the sums of their figures.

It reads and checks the configuration; the server processes get its text over their links, so all have the same
one, those that start later too. It owns their processes, its ends of the links, and the address, bound and not
listened on.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING, Any

from tornado.ioloop import IOLoop

from badgerroad import startup_signals
from badgerroad.config import Config, ConfigError, parse, reread, text_of
from badgerroad.errors import ListenError
from badgerroad.multiprocess import messages, rules
from badgerroad.multiprocess.figures import Sums
from badgerroad.multiprocess.server_process import Part
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.timer_wheel import Clock, Timer, TimerWheel
from badgerroad.net.unix_channel import Link

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

log = logs.get("badgerroad")


class ProcessSlot:
    """One server process's place: the process that has it now, and this side's end of its link."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.link: Link | None = None
        self.timer: Timer | None = None  # until its next word is overdue
        self.here = self.taking = False


class Supervisor:
    def __init__(
        self,
        size: int,
        config: Config,
        text: bytes,
        operator: Operator | None,
        operator_file: str | None,
        verbose: bool,
        wheel: TimerWheel,
    ) -> None:
        self.config, self.text, self.wheel = config, text, wheel
        self.operator, self.operator_file, self.verbose = operator, operator_file, verbose
        self.group, self.sums = rules.ProcessGroup(size), Sums(size)
        self.sums.know(c.name for c in config.settings.classes)
        self.slots = [ProcessSlot() for _ in range(size)]
        self.loaded = self.invalid = 0
        self.listen = ""
        self.code: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def hold(self) -> socket.socket:
        """The address, bound: it is told to the server processes, whose own it is too, and if it is taken that is known
        before any of them starts. Raises OSError."""
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

    def begin(self) -> None:
        self._do(self.group.begin(self.wheel.clock.now()))

    def _do(self, actions: list[rules.Action]) -> None:
        for a in actions:
            if isinstance(a, rules.Exit):
                if not self.code.done():
                    self.code.set_result(a.code)
                continue
            slot = self.slots[a.process]
            if isinstance(a, rules.Start):
                spawn(self._run(a.process, slot))
            elif isinstance(a, rules.StartLater):
                log.info("worker starts again", process=a.process, pause_ms=a.pause // 1000)
                self.wheel.after(a.pause, lambda n=a.process: self._do(self.group.due(self.wheel.clock.now(), n)))  # type: ignore[misc]
            elif slot.process is not None and slot.process.returncode is None:
                if isinstance(a, rules.Kill):
                    log.warning("worker is silent", process=a.process, pid=slot.process.pid)
                    slot.process.kill()
                else:
                    slot.process.terminate()

    async def _run(self, number: int, slot: ProcessSlot) -> None:
        """One life of a server process's process."""
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        code: int | None = None
        try:
            environment = {k: v for k, v in os.environ.items() if k != "PROXY_OPS"}
            environment[messages.VARIABLE] = f"{number}/{len(self.slots)}/{theirs.fileno()}"
            link = slot.link = Link(ours, lambda *told: self._told(number, slot, *told), lambda: None)
            link.send(messages.CONFIG, self._config())
            self._await(number, slot, rules.START_TIME)
            slot.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "badgerroad",
                "serve",
                *["--verbose"] * self.verbose,
                env=environment,
                pass_fds=[theirs.fileno()],
            )
            theirs.close()
            if self.group.ending:
                slot.process.terminate()  # the word came while it was being started
            code = await slot.process.wait()
            log.info("worker ended", process=number, pid=slot.process.pid, code=code)
        except OSError as e:
            log.error("worker not started", process=number, why=str(e))
        finally:
            theirs.close()
            if slot.timer:
                slot.timer.cancel()
            if slot.link:
                slot.link.close()
            slot.process = slot.link = None
            slot.here = slot.taking = False
            self.sums.died(number)
            self._do(self.group.ended(self.wheel.clock.now(), number, code))

    def _await(self, number: int, slot: ProcessSlot, time: int) -> None:
        if slot.timer:
            slot.timer.cancel()
        slot.timer = self.wheel.after(time, lambda: self._do(self.group.silent(number)), awaits_peer=True)

    def _config(self) -> dict[str, Any]:
        return {
            "text": self.text.decode(),
            "reread": self.loaded > 0,
            "listen": self.listen,
            "operator": messages.told(self.operator),
        }

    def _told(
        self, number: int, slot: ProcessSlot, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None
    ) -> None:
        if descriptor is not None:
            os.close(descriptor)
        self._await(number, slot, rules.SILENCE)
        if kind == messages.HERE:
            log.info("worker started", process=number, pid=head["pid"])
            slot.here = True
            for other in range(len(self.slots)):
                self._introduce(number, other)
            if slot.link is not None:
                slot.link.send(messages.GO, {})
        elif kind == messages.LISTENS:
            self.group.listens(number)
        elif kind == messages.FIGURES:
            self.sums.told(number, head["figures"])
            slot.taking = bool(head["taking"])
        elif kind == messages.CUT_OFF:
            self._introduce(number, int(head["number"]))

    def _introduce(self, one: int, two: int) -> None:
        """A link between two server processes that are here. One that has one already replaces it by the new one."""
        slots = self.slots[one], self.slots[two]
        if one == two or not all(s.here and s.link is not None for s in slots):
            return  # whoever comes next is introduced then
        pair = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for slot, number, sock in zip(slots, (two, one), pair, strict=False):
            if slot.link is not None:
                slot.link.hand_over(messages.PEER, {"number": number}, sock)

    def reread(self) -> None:
        """SIGHUP: checked here, whole, and then told to all that run; whoever starts later is told it at its start."""
        try:
            text, operator = text_of(os.environ), None
            config = reread(parse(text, os.environ.get("PROXY_CONFIG", "")), os.environ, self.config)
            Part(0, len(self.slots)).of(config)
            if self.operator_file is not None:
                from badgerroad.operator.schema import load as load_operator

                operator = load_operator(self.operator_file)
        except ConfigError as e:
            log.error("reload failed; the old configuration stays in force", **e.fields)
            self.invalid += 1
            return
        self.config, self.text, self.operator = config, text, operator
        self.loaded += 1
        self.sums.know(c.name for c in config.settings.classes)
        if operator is not None:
            logs.configure(operator.log)
        for slot in self.slots:
            if slot.link is not None:
                slot.link.send(messages.CONFIG, self._config())

    def term(self) -> None:
        log.info("stopping: the workers answer what is owed")
        self._do(self.group.term())

    def ready(self) -> bool:
        return not self.group.ending and any(slot.taking for slot in self.slots)

    def figures(self) -> dict[str, Any]:
        return {**self.sums.figures(), "conf_loaded": self.loaded, "conf_invalid": self.invalid}


async def supervise(
    size: int, config: Config, text: bytes, operator: Operator | None, operator_file: str | None, verbose: bool
) -> int:
    """Until SIGTERM and the server processes' end; returns the exit code."""
    wheel = TimerWheel(Clock(), IOLoop.current())
    supervisor, ops = Supervisor(size, config, text, operator, operator_file, verbose, wheel), None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, supervisor.term)
    loop.add_signal_handler(signal.SIGHUP, supervisor.reread)
    for _ in range(startup_signals.reload_count):
        loop.call_soon(supervisor.reread)
    held: socket.socket | None = None
    what, address = "ops", config.admin
    try:
        if config.admin is not None:
            from badgerroad.admin.listener import Listener

            ops = Listener(wheel, supervisor.ready, supervisor.figures)
            ops.listen(config.admin)
        what, address = "listen", config.listen
        held = supervisor.hold()
    except OSError as e:
        assert address is not None
        raise ListenError(what, address, e) from e
    log.info("listening", name=config.name, address=supervisor.listen, workers=size)
    supervisor.begin()
    code = await supervisor.code
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    if ops is not None:
        ops.close()
    held.close()
    log.info("stopped")
    return code
