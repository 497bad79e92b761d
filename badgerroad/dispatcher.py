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
from badgerroad.backend.http import ACCEPT_TIME, Backend
from badgerroad.backend.reports import Load
from badgerroad.class_table import ClassTable
from badgerroad.config import Config
from badgerroad.discovery.endpoint_watch import EndpointWatch
from badgerroad.discovery.reader import EndpointListReader
from badgerroad.extension import DispatcherExtension, admit_request
from badgerroad.frontend.client import Exchange
from badgerroad.frontend.http import Frontend
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy as Decisions
from badgerroad.load_balancing.state import avoided
from badgerroad.net import http1, logs
from badgerroad.net.connection import Address, Descriptors
from badgerroad.net.timer_wheel import Wheel
from badgerroad.requests import InvalidRequestError, OpenRequest, forwarded_headers, parse_request, parse_request_id

if TYPE_CHECKING:
    from badgerroad.admin.counts import Counts

log = logs.get("badgerroad")

# SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s. What comes
# after SIGTERM and is not answered by then is lost. The margin is for the way to the client; LEAST, for the module to
# refuse what comes in the last moment.
LONGEST_DRAIN, KILL, MARGIN, LEAST = 3_000_000, 700_000, 150_000, 50_000


class Dispatcher:
    def __init__(self, config: Config, wheel: Wheel, counts: Counts | None = None, kept: int = 0) -> None:
        """`counts`: kept up where there is a second address; `kept`: descriptors for what others hold."""
        self.config, self.settings, self.wheel, self.clock = config, config.settings, wheel, wheel.clock
        self.counts = counts
        self._extensions_by_name: dict[str, DispatcherExtension] = {}
        self.extensions: tuple[DispatcherExtension, ...] = ()  # the same, in the order of their coming
        self.decisions = Decisions(config.settings, config.seed)
        self.descriptors = Descriptors(config.max_sockets, kept)
        self.backend = Backend(
            wheel,
            self.descriptors,
            config.settings,
            self._attempt_ended,
            self.handle_event,
            self._may_begin,
            lambda: self.frontend.make_room(),
            counts.sent if counts else None,
        )
        self.endpoint_watch = EndpointWatch(
            wheel,
            self.descriptors,
            EndpointListReader(config.zones, config.machine_types),
            config.discovery,
            self._endpoints_updated,
            config.settings.dispatcher_count,
            config.settings.dispatcher_index,
            config.seed,
        )
        self.frontend = Frontend(wheel, self.descriptors, self)
        self.classes = ClassTable(config.settings.classes)
        self.tenants = {t.name.encode(): n for n, t in enumerate(config.settings.tenants)}
        self.open_requests: dict[int, OpenRequest] = {}
        self.requests_by_id: dict[bytes, OpenRequest] = {}
        self._count = 0
        self._last: int | None = None  # when whatever comes must be answered, once the end has been told
        self._event_queue: deque[interface.Event] = deque()
        self._handling = False
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Reject: self._reject,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: lambda a: self._set_timer(a),
            interface.Subscribe: lambda a: self.endpoint_watch.subscribe(a.on),
            interface.FetchEndpoints: lambda a: self.endpoint_watch.fetch(),
            interface.HealthCheck: lambda a: self.backend.probe(str(a.worker)),
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
        address = self.frontend.listen(self.config.listen, shared=shared or self.config.admin is not None)
        self.start_discovery(self.config.cached_endpoints)
        return address

    def start_discovery(self, known: Any) -> None:
        """Take the list as it was last held, and ask discovery for what has changed."""
        self.endpoint_watch.load_cached(known)
        self.endpoint_watch.set_agent_mode(not self.settings.must_subscribe, self.settings.drain_grace)

    def reload(self, config: Config) -> None:
        """A configuration read anew and checked: its settings hold from now on, all that is in flight goes on, and
        discovery moves. What the sockets are built on is as it was at the start."""
        for field, before, after in (
            ("name", self.config.name, config.name),
            ("listen", self.config.listen, config.listen),
            ("ops", self.config.admin, config.admin),
            ("sockets", self.config.max_sockets, config.max_sockets),
        ):
            if before != after:
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
            machine_types=config.machine_types,
            settings_keys=config.settings_keys,
        )
        self._apply_settings(config)
        self.endpoint_watch.set_agent_mode(not self.settings.must_subscribe, self.settings.drain_grace)
        self.endpoint_watch.change_address(config.discovery)

    def adopt_name_indices(self, zones: list[str], kinds: list[str]) -> None:
        """Zones and kinds have the numbers that another process of this dispatcher gave them."""
        reader = self.endpoint_watch.reader
        if (reader.zones, reader.machine_types) != (zones, kinds):
            reader.zones, reader.machine_types = list(zones), list(kinds)
            self._apply_settings(self.config)

    def _apply_settings(self, config: Config) -> None:
        open_now = {r.request_class for r in self.open_requests.values()}
        fresh = self.endpoint_watch.reader.renumbered(config.settings, config.zones, config.machine_types)
        classes = self.classes.update(
            fresh.classes, {n for n, c in enumerate(self.classes.request_classes) if c in open_now}
        )
        self.settings = self.backend.settings = fresh._replace(classes=classes)
        self.backend.learn_words()
        self.tenants = {t.name.encode(): n for n, t in enumerate(fresh.tenants)}
        if self.counts:
            self.counts.know(c.name for c in fresh.classes)
        self.handle_event(interface.SettingsChanged(self.settings))
        for extension in self.extensions:
            extension.settings_changed(self.settings)

    @property
    def ready(self) -> bool:
        return self.endpoint_watch.has_answered

    @property
    def accepts_clients(self) -> bool:
        """Does this process take clients?"""
        return self.ready and self.frontend.serving and not self.frontend.draining

    # The module.

    def handle_event(self, event: interface.Event) -> None:
        self._event_queue.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._event_queue:
                self._handle(self._event_queue.popleft())
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
        self.perform_actions(actions)

    def perform_actions(self, actions: list[interface.Action]) -> None:
        for action in actions:
            perform = self._action_handlers.get(type(action))
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
        request = self.open_requests.get(number)
        if request:
            self._finish(request, 500, b"internal error\n")

    # Actions.

    def _send(self, a: interface.Send) -> None:
        request = self.open_requests[a.request]
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
            self.backend.start(
                attempt,
                a.timeout,
                0 if request.request_class.semantics == interface.RetrySemantics.NON_IDEMPOTENT else ACCEPT_TIME,
            )

    def _may_begin(self, attempt: Attempt) -> bool:
        """The last look, immediately before an attempt's first byte. Its client's end may lie unread on the socket; all
        else is the module's to say, by what it knows now."""
        exchange = self.open_requests[attempt.request].exchange
        if not exchange.answered and exchange.client_left():
            exchange.close()
        return not exchange.answered and self.decisions.may_begin(self.clock.now(), attempt.request, attempt.number)

    def _reject(self, a: interface.Reject) -> None:
        request = self.open_requests.get(a.request)
        if request:
            wait = min(a.retry_after, self.settings.max_retry_after) if self.settings.retry_after_allowed else 0
            headers = [(b"Retry-After", b"%.3f" % (wait / 1e6))] if wait > 0 else []
            self._finish(request, 503, b"refused\n", headers)

    def _fail(self, a: interface.Fail) -> None:
        request = self.open_requests.get(a.request)
        if request:
            late = self.clock.now() >= request.forwarded.deadline - 10 * self.settings.tick
            self._finish(request, 504 if late else 502, b"failed\n")

    def _cancel(self, a: interface.Cancel) -> None:
        request = self.open_requests.get(a.request)
        if request and a.attempt < len(request.attempts):
            self.backend.cancel(request.attempts[a.attempt])

    def _set_timer(self, a: interface.SetTimer) -> None:
        self.wheel.after(
            a.delay, lambda: self.handle_event(interface.Timer(a.token)), patient=True
        )  # hosts' silence among them

    def _finish(self, request: OpenRequest, status: int, body: bytes, headers: http1.Headers = []) -> None:
        """The one place where a request is answered."""
        if not request.exchange.answered:
            request_log.log_answer(request, status, self.clock.now())
            if self.counts:
                self.counts.ended(request.request_class.name, status)
            request.exchange.answer(status, body, headers)
        self.release_if_finished(request)

    def release_if_finished(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has no attempt out."""
        if request.exchange.answered:
            if request.deadline_timer:
                request.deadline_timer.cancel()
            if not request.open_attempts:
                self.open_requests.pop(request.number, None)
                if self.requests_by_id.pop(request.forwarded.id, None):
                    for extension in self.extensions:
                        extension.request_forgotten(request.forwarded.id)

    # The backend and the worker list report.

    def _attempt_ended(self, attempt: Attempt, result: str, load: Load, body: bytes) -> None:
        request = self.open_requests[attempt.request]
        request.open_attempts -= 1
        for extension in self.extensions:
            extension.attempt_ended(request, attempt, result)
        if result == interface.AttemptResult.OK:
            self._finish(request, 200, body)
        elif result == interface.AttemptResult.INVALID_REQUEST and not request.open_attempts:
            # Another host would say the same. With a second copy out, that one settles it.
            self._finish(request, attempt.status, b"the host that was asked cannot use it\n")
        zone = self.endpoint_watch.zones.get(attempt.worker, "")
        request_log.log_attempt_ended(request, attempt, zone, result, self.clock.now())
        answered, took = request.exchange.answered, self.clock.now() - attempt.sent_at
        self.handle_event(
            interface.AttemptEnded(attempt.request, attempt.number, attempt.worker, result, took, answered, load)
        )
        self.release_if_finished(request)

    def _endpoints_updated(self, news: interface.EndpointList, places: dict[str, Address]) -> None:
        for name, address in places.items():
            self.backend.place(name, address)
        self.handle_event(news)
        if news.scope != interface.ListScope.FAILED:
            self.backend.forget_gone(self.endpoint_watch.states.__contains__)

    # The frontend.

    def knows_path(self, path: bytes) -> bool:
        return path.split(b"/")[1:2] != [] and path.split(b"/")[1] in self.classes.index_by_name

    def shed(self) -> None:
        self.backend.shed()

    def turned_away(self, path: bytes) -> None:
        if self.counts:
            self.counts.turned_away(path.split(b"/")[1].decode())

    def metrics(self) -> dict[str, Any]:
        """What the second address shows."""
        assert self.counts is not None
        return self.counts.figures(len(self.endpoint_watch.states), avoided(self.decisions, self.clock.now()))

    def called_back(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        if not self.backend.called_back(request_id, host, state, item):
            for extension in self.extensions:
                extension.unknown_job_event(request_id, host, state, item)

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        try:
            request_id = parse_request_id(message)
            if request_id in self.requests_by_id or any(
                extension.has_open_request(request_id) for extension in self.extensions
            ):
                raise InvalidRequestError("request-id is that of an open request")
            event = parse_request(message, self._count + 1, self.settings, self.classes.index_by_name, self.tenants)
        except InvalidRequestError as e:
            exchange.answer(400, f"{e}\n".encode())
            return
        exchange.number = self.next_request_number()
        now = self.clock.now()
        if self._last is not None:
            # The module sees what cannot be done by then, and refuses it at once; its client may try elsewhere.
            event = event._replace(time_left=min(event.time_left, max(self._last - now, LEAST)), client_retry=False)
        order = ForwardedRequest(
            message.method, message.target, message.body, request_id, forwarded_headers(message), now + event.time_left
        )
        cls = self.settings.classes[event.class_index]
        request = OpenRequest(event.request, order, exchange, cls, now)
        request.work_hint, request.slots = event.work_hint, event.slots
        self.register_request(request)
        for extension in self.extensions:
            extension.request_received(request, event)
        admit_request(request, event, self.extensions, self.handle_event)

    def next_request_number(self) -> int:
        self._count += 1
        return self._count

    def register_request(self, request: OpenRequest) -> None:
        """It is taken: from here on it is owed an answer."""
        self.open_requests[request.number] = self.requests_by_id[request.forwarded.id] = request
        if self.counts:
            self.counts.taken()
        # Should the module ever fail to answer, the client still hears before it gives up.
        left = request.forwarded.deadline - self.clock.now() - self.settings.tick
        request.deadline_timer = self.wheel.after(max(left, 0), lambda: self._finish(request, 504, b"out of time\n"))

    def client_gone(self, exchange: Exchange) -> None:
        request = self.open_requests.get(exchange.number)
        if request:
            log.info("the client has left", request=request.forwarded.id.decode("latin-1"))
            if self.counts:
                self.counts.ended(request.request_class.name, 0)
            self.handle_event(interface.ClientDisconnected(request.number))
            self.release_if_finished(request)

    # The end.

    def drain(self) -> None:
        longest = max(c.deadline for c in self.settings.classes)
        self._last = self.clock.now() + min(longest, LONGEST_DRAIN) + KILL - MARGIN
        if (
            not self.settings.clients_mark_retries
        ):  # how long a client has waited shows no more in the time that it has left
            self.handle_event(interface.SettingsChanged(self.settings._replace(clients_mark_retries=True)))
        self.frontend.drain()

    @property
    def has_pending_responses(self) -> bool:
        return self.frontend.owed or any(not r.exchange.answered for r in self.open_requests.values())

    def end_client_connections(self) -> bool:
        """Once nothing is owed: True when all connections of clients have been ended."""
        return self.frontend.end()

    def close(self) -> None:
        self.frontend.close()
        self.endpoint_watch.close()
        self.backend.shed()
