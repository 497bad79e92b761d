"""The host of the decision module: events in, and its actions performed directly on the sockets.

It keeps the open requests and the attempts of each. An event raised while another is handled waits in line, so the
module is never entered twice at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from badgerroad import request_log
from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.backend.http import ACCEPT_TIMEOUT_US, Backend
from badgerroad.backend.reports import LoadReport
from badgerroad.class_table import Classes
from badgerroad.config import Config
from badgerroad.discovery.endpoint_watch import WorkerListWatch
from badgerroad.discovery.reader import Reader
from badgerroad.extension import DispatcherExtension, admit
from badgerroad.frontend.exchange import Exchange
from badgerroad.frontend.http import Frontend
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy as Decisions
from badgerroad.load_balancing.state import avoided
from badgerroad.net import http1, logs
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.requests import BadRequest, OpenRequest, headers_of, id_of, read

if TYPE_CHECKING:
    from badgerroad.admin.counts import Counts

log = logs.get("badgerroad")

# SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s. What comes
# after SIGTERM and is not answered by then is lost. The margin is for the way to the client; LEAST, for the module to
# refuse what comes in the last moment.
LONGEST_DRAIN, KILL, MARGIN, LEAST = 3_000_000, 700_000, 150_000, 50_000


class Dispatcher:
    def __init__(self, config: Config, wheel: TimerWheel, counts: Counts | None = None, kept: int = 0) -> None:
        """`counts`: kept up where there is a second address; `kept`: descriptors for what others hold."""
        self.config, self.settings, self.wheel, self.clock = config, config.settings, wheel, wheel.clock
        self.counts = counts
        self._extensions_by_name: dict[str, DispatcherExtension] = {}
        self.extensions: tuple[DispatcherExtension, ...] = ()  # the same, in the order of their coming
        self.decisions = Decisions(config.settings, config.seed)
        self.descriptors = DescriptorBudget(config.sockets, kept)
        self.backend = Backend(
            wheel,
            self.descriptors,
            config.settings,
            self._attempt_ended,
            self.feed,
            self._may_begin,
            lambda: self.frontend.free_descriptors(),
            counts.sent if counts else None,
        )
        self.worker_list = WorkerListWatch(
            wheel,
            self.descriptors,
            Reader(config.zones, config.kinds),
            config.discovery,
            self._news,
            config.settings.dispatcher_count,
            config.settings.dispatcher_index,
            config.seed,
        )
        self.frontend = Frontend(wheel, self.descriptors, self)
        self.classes = Classes(config.settings.classes)
        self.tenants = {t.name.encode(): n for n, t in enumerate(config.settings.tenants)}
        self.requests: dict[int, OpenRequest] = {}
        self.by_id: dict[bytes, OpenRequest] = {}
        self._count = 0
        self._last: int | None = None  # when whatever comes must be answered, once the end has been told
        self._line: deque[interface.Event] = deque()
        self._handling = False
        self._perform: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Reject: self._refuse,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: lambda a: self._set_timer(a),
            interface.Subscribe: lambda a: self.worker_list.subscribe(a.on),
            interface.FetchEndpoints: lambda a: self.worker_list.fetch(),
            interface.HealthCheck: lambda a: self.backend.check_health(str(a.worker)),
            interface.CloseIdle: lambda a: self.backend.close_idle(str(a.worker)),
            interface.Log: lambda a: log.info("module", text=a.text),
        }

    def set_extension(self, name: str, extension: DispatcherExtension | None) -> None:
        """From now on it extends this dispatcher, in place of an earlier one of that name; None: nothing does."""
        self._extensions_by_name.pop(name, None)
        if extension is not None:
            self._extensions_by_name[name] = extension
            extension.settings_changed(self.settings)
        self.extensions = tuple(self._extensions_by_name.values())

    def extension(self, name: str) -> DispatcherExtension | None:
        return self._extensions_by_name.get(name)

    def start(self, shared: bool = False) -> Address:
        """`shared`: other processes may listen at the same address."""
        address = self.frontend.listen(self.config.listen, shared=shared or self.config.ops is not None)
        self.begin(self.config.known)
        return address

    def begin(self, known: Any) -> None:
        """Take the list as it was last held, and ask discovery for what has changed."""
        self.worker_list.known(known)
        self.worker_list.pushed(not self.settings.must_subscribe, self.settings.drain_grace)

    def reload(self, config: Config) -> None:
        """A configuration read anew and checked: its settings hold from now on, all that is in flight goes on, and
        discovery moves. What the sockets are built on is as it was at the start."""
        for field in ("name", "listen", "ops", "sockets"):
            if getattr(config, field) != getattr(self.config, field):
                log.warning("reload: takes effect at the next start", field=field)
        log.info(
            "reload",
            discovery=f"{config.discovery[0]}:{config.discovery[1]}",
            classes=",".join(c.name for c in config.settings.classes),
            attempts=config.settings.max_attempts,
        )
        self.config = self.config._replace(
            discovery=config.discovery,
            settings=config.settings,
            zones=config.zones,
            kinds=config.kinds,
            keys=config.keys,
        )
        self._change(config)
        self.worker_list.pushed(not self.settings.must_subscribe, self.settings.drain_grace)
        self.worker_list.move(config.discovery)

    def count_as(self, zones: list[str], kinds: list[str]) -> None:
        """Zones and kinds have the numbers that another process of this dispatcher gave them."""
        reader = self.worker_list.reader
        if (reader.zones, reader.kinds) != (zones, kinds):
            reader.zones, reader.kinds = list(zones), list(kinds)
            self._change(self.config)

    def _change(self, config: Config) -> None:
        open_now = {r.request_class for r in self.requests.values()}
        fresh = self.worker_list.reader.renumbered(config.settings, config.zones, config.kinds)
        classes = self.classes.change(fresh.classes, {n for n, c in enumerate(self.classes.places) if c in open_now})
        self.settings = fresh._replace(classes=classes)
        self.backend.apply_settings(self.settings)
        self.tenants = {t.name.encode(): n for n, t in enumerate(fresh.tenants)}
        if self.counts:
            self.counts.know(c.name for c in fresh.classes)
        self.feed(interface.SettingsChanged(self.settings))
        for extension in self.extensions:
            extension.settings_changed(self.settings)

    @property
    def ready(self) -> bool:
        return self.worker_list.heard

    @property
    def taking(self) -> bool:
        """Does this process take clients?"""
        return self.ready and self.frontend.serving and not self.frontend.draining

    # The module.

    def feed(self, event: interface.Event) -> None:
        self._line.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._line:
                self._handle(self._line.popleft())
        finally:
            self._handling = False

    def _handle(self, event: interface.Event) -> None:
        if self.extensions and type(event) is interface.AttemptStarted:
            for extension in self.extensions:
                extension.attempt_started(event.request, event.attempt)
        try:
            actions = self.decisions.handle(self.clock.now(), event)
        except Exception:
            log.exception("the module broke", on=repr(event))
            self._give_up(getattr(event, "request", -1))
            return
        self.act(actions)

    def act(self, actions: list[interface.Action]) -> None:
        for action in actions:
            perform = self._perform.get(type(action))
            if perform is None:
                log.error("an action that this deployment has no use for", action=repr(action))
                continue
            try:
                perform(action)
            except Exception:
                log.exception("could not perform an action", action=repr(action))
                self._give_up(getattr(action, "request", -1))

    def _give_up(self, number: int) -> None:
        """After an unexpected exception: the request still gets its answer, the one that promises nothing."""
        request = self.requests.get(number)
        if request:
            self._finish(request, 500, b"internal error\n")

    # Actions.

    def _send(self, a: interface.Send) -> None:
        request = self.requests[a.request]
        attempt = Attempt(a.request, len(request.attempts), request.forwarded, str(a.worker), self.clock.now())
        request.attempts.append(attempt)
        request.open_attempts += 1
        made = sum(not attempt.not_sent for attempt in request.attempts) - 1
        if (
            request.exchange.answered
            or made >= self.settings.max_attempts
            or not all(extension.may_send(request, attempt) for extension in self.extensions)
        ):
            attempt.ended = True
            self._attempt_ended(attempt, interface.AttemptResult.NOT_NEEDED, None, b"")
        else:
            for extension in self.extensions:
                extension.attempt_sent(request, attempt)
            # Where nothing may be sent again, there is nothing to be won by giving a silent host up.
            self.backend.start_attempt(
                attempt,
                a.timeout,
                0 if request.request_class.semantics == interface.RetrySemantics.NON_IDEMPOTENT else ACCEPT_TIMEOUT_US,
            )

    def _may_begin(self, attempt: Attempt) -> bool:
        """The last look, immediately before an attempt's first byte. Its client's end may lie unread on the socket; all
        else is the module's to say, by what it knows now."""
        exchange = self.requests[attempt.request].exchange
        if not exchange.answered and exchange.client_has_closed():
            exchange.close()
        return not exchange.answered and self.decisions.may_begin(self.clock.now(), attempt.request, attempt.number)

    def _refuse(self, a: interface.Reject) -> None:
        request = self.requests.get(a.request)
        if request:
            wait = min(a.retry_after, self.settings.max_retry_after) if self.settings.retry_after_allowed else 0
            headers = [(b"Retry-After", b"%.3f" % (wait / 1e6))] if wait > 0 else []
            self._finish(request, 503, b"refused\n", headers)

    def _fail(self, a: interface.Fail) -> None:
        request = self.requests.get(a.request)
        if request:
            late = self.clock.now() >= request.forwarded.deadline - 10 * self.settings.tick
            self._finish(request, 504 if late else 502, b"failed\n")

    def _cancel(self, a: interface.Cancel) -> None:
        request = self.requests.get(a.request)
        if request and a.attempt < len(request.attempts):
            self.backend.cancel_attempt(request.attempts[a.attempt])

    def _set_timer(self, a: interface.SetTimer) -> None:
        self.wheel.after(
            a.delay, lambda: self.feed(interface.Timer(a.token)), awaits_peer=True
        )  # hosts' silence among them

    def _finish(self, request: OpenRequest, status: int, body: bytes, headers: http1.Headers = []) -> None:
        """The one place where a request is answered."""
        if not request.exchange.answered:
            request_log.answered(request, status, self.clock.now())
            if self.counts:
                self.counts.ended(request.request_class.name, status)
            request.exchange.answer(status, body, headers)
        self.settle(request)

    def settle(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has no attempt out."""
        if request.exchange.answered:
            if request.deadline_timer:
                request.deadline_timer.cancel()
            if not request.open_attempts:
                self.requests.pop(request.number, None)
                if self.by_id.pop(request.forwarded.id, None):
                    for extension in self.extensions:
                        extension.request_forgotten(request.forwarded.id)

    # The backend and the worker list report.

    def _attempt_ended(self, attempt: Attempt, result: str, load: LoadReport, body: bytes) -> None:
        request = self.requests[attempt.request]
        request.open_attempts -= 1
        for extension in self.extensions:
            extension.attempt_ended(request, attempt, result)
        if result == interface.AttemptResult.OK:
            self._finish(request, 200, body)
        elif result == interface.AttemptResult.INVALID_REQUEST and not request.open_attempts:
            # Another host would say the same. With a second copy out, that one settles it.
            self._finish(request, attempt.status, b"the host that was asked cannot use it\n")
        zone = self.worker_list.zones.get(attempt.worker, "")
        request_log.attempt_ended(request, attempt, zone, result, self.clock.now())
        answered, took = request.exchange.answered, self.clock.now() - attempt.sent_at
        self.feed(interface.AttemptEnded(attempt.request, attempt.number, attempt.worker, result, took, answered, load))
        self.settle(request)

    def _news(self, news: interface.EndpointList, places: dict[str, Address]) -> None:
        for name, address in places.items():
            self.backend.set_address(name, address)
        self.feed(news)
        if news.scope != interface.ListScope.FAILED:
            self.backend.forget_unlisted(self.worker_list.listed.__contains__)

    # The frontend.

    def serves_path(self, path: bytes) -> bool:
        return path.split(b"/")[1:2] != [] and path.split(b"/")[1] in self.classes.by_name

    def shed_idle_connections(self) -> None:
        self.backend.shed_idle_connections()

    def record_rejection(self, path: bytes) -> None:
        if self.counts:
            self.counts.turned_away(path.split(b"/")[1].decode())

    def figures(self) -> dict[str, Any]:
        """What the second address shows."""
        assert self.counts is not None
        return self.counts.figures(len(self.worker_list.listed), avoided(self.decisions, self.clock.now()))

    def handle_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        if not self.backend.handle_job_event(request_id, host, state, item):
            for extension in self.extensions:
                extension.unknown_job_event(request_id, host, state, item)

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        try:
            request_id = id_of(message)
            if request_id in self.by_id or any(extension.has_open_request(request_id) for extension in self.extensions):
                raise BadRequest("request-id is that of an open request")
            event = read(message, self._count + 1, self.settings, self.classes.by_name, self.tenants)
        except BadRequest as e:
            exchange.answer(400, f"{e}\n".encode())
            return
        exchange.number = self.next_number()
        now = self.clock.now()
        if self._last is not None:
            # The module sees what cannot be done by then, and refuses it at once; its client may try elsewhere.
            event = event._replace(time_left=min(event.time_left, max(self._last - now, LEAST)), client_retry=False)
        order = ForwardedRequest(
            message.method, message.target, message.body, request_id, headers_of(message), now + event.time_left
        )
        cls = self.settings.classes[event.class_index]
        request = OpenRequest(event.request, order, exchange, cls, now)
        request.work_hint, request.slots = event.work_hint, event.slots
        self.enter(request)
        for extension in self.extensions:
            extension.request_received(request, event)
        admit(request, event, self.extensions, self.feed)

    def next_number(self) -> int:
        self._count += 1
        return self._count

    def enter(self, request: OpenRequest) -> None:
        """It is taken: from here on it is owed an answer."""
        self.requests[request.number] = self.by_id[request.forwarded.id] = request
        if self.counts:
            self.counts.taken()
        # Should the module ever fail to answer, the client still hears before it gives up.
        left = request.forwarded.deadline - self.clock.now() - self.settings.tick
        request.deadline_timer = self.wheel.after(max(left, 0), lambda: self._finish(request, 504, b"out of time\n"))

    def client_disconnected(self, exchange: Exchange) -> None:
        request = self.requests.get(exchange.number)
        if request:
            log.info("the client has left", request=request.forwarded.id.decode("latin-1"))
            if self.counts:
                self.counts.ended(request.request_class.name, 0)
            self.feed(interface.ClientDisconnected(request.number))
            self.settle(request)

    # The end.

    def drain(self) -> None:
        longest = max(c.deadline for c in self.settings.classes)
        self._last = self.clock.now() + min(longest, LONGEST_DRAIN) + KILL - MARGIN
        if (
            not self.settings.clients_mark_retries
        ):  # how long a client has waited shows no more in the time that it has left
            self.feed(interface.SettingsChanged(self.settings._replace(clients_mark_retries=True)))
        self.frontend.drain()

    @property
    def has_pending_responses(self) -> bool:
        return self.frontend.has_pending_responses or any(not r.exchange.answered for r in self.requests.values())

    def end(self) -> bool:
        """Once nothing is owed: True when all connections of clients have been ended."""
        return self.frontend.end_connections()

    def close(self) -> None:
        self.frontend.close()
        self.worker_list.close()
        self.backend.shed_idle_connections()
