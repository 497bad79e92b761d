"""Handles what the frontend reports: new requests, disconnected clients and job events of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from badgerroad.backend.attempts import ForwardedRequest
from badgerroad.backend.http import Backend
from badgerroad.discovery.endpoint_watch import EndpointWatch
from badgerroad.dispatcher.active_settings import ActiveSettings
from badgerroad.dispatcher.decision_host import DecisionHost
from badgerroad.dispatcher.extensions import Extensions
from badgerroad.dispatcher.open_requests import OpenRequests
from badgerroad.dispatcher.shutdown import ShutdownDeadline
from badgerroad.extension import admit_request
from badgerroad.frontend.exchange import Exchange
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.timer_wheel import Clock
from badgerroad.requests import InvalidRequestError, OpenRequest, forwarded_headers, parse_request, parse_request_id

if TYPE_CHECKING:
    from badgerroad.admin.counters import Counters

log = logs.get("badgerroad")


class RequestIntake:
    """The request handler of the frontend's client connections."""

    def __init__(
        self,
        clock: Clock,
        settings: ActiveSettings,
        host: DecisionHost,
        requests: OpenRequests,
        extensions: Extensions,
        backend: Backend,
        endpoint_watch: EndpointWatch,
        shutdown: ShutdownDeadline,
        counts: Counters | None,
    ) -> None:
        """Handle requests for the dispatcher to which all these components belong."""
        self._clock = clock
        self._settings = settings
        self._host = host
        self._requests = requests
        self._extensions = extensions
        self._backend = backend
        self._endpoint_watch = endpoint_watch
        self._shutdown = shutdown
        self._counts = counts

    @property
    def ready(self) -> bool:
        """Whether discovery has answered or counts as unavailable."""
        return self._endpoint_watch.has_answered

    def serves_path(self, path: bytes) -> bool:
        """Return whether the path names a request class."""
        return self._settings.knows_class(path)

    def shed_idle_connections(self) -> None:
        """Close idle connections to workers, to free their file descriptors."""
        self._backend.shed_idle_connections()

    def record_rejection(self, path: bytes) -> None:
        """Count a request that was rejected before it was registered."""
        if self._counts:
            self._counts.request_rejected(path.split(b"/")[1].decode())

    def handle_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """Handle a worker's event about an attempt. If the attempt is unknown here, pass the event to the
        extensions."""
        if not self._backend.handle_job_event(request_id, host, state, item):
            for extension in self._extensions.active:
                extension.unknown_job_event(request_id, host, state, item)

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        """Register a client's request and pass it to the dispatch policy, or answer 400 if it is invalid."""
        try:
            request_id = parse_request_id(message)
            event = self._parse(message, request_id)
        except InvalidRequestError as error:
            exchange.answer(400, f"{error}\n".encode())
            return
        exchange.number = self._requests.next_number()
        now_us = self._clock.now()
        event = self._shutdown.limit(event, now_us)
        request = self._open(message, request_id, exchange, event, now_us)
        self._requests.register(request, self._settings.current.tick)
        active = self._extensions.active
        for extension in active:
            extension.request_received(request, event)
        admit_request(request, event, active, self._host.handle_event)

    def client_disconnected(self, exchange: Exchange) -> None:
        """Handle the disconnection of a client before its response."""
        request = self._requests.by_number.get(exchange.number)
        if request:
            log.info("client_disconnected", request=request.forwarded.id.decode("latin-1"))
            self._requests.client_disconnected(request)
            self._host.handle_event(interface.ClientDisconnected(request.number))
            self._requests.release_if_finished(request)

    def _parse(self, message: http1.Message, request_id: bytes) -> interface.Request:
        if self._requests.has_id(request_id):
            raise InvalidRequestError("request-id is that of an open request")
        return parse_request(
            message,
            self._requests.upcoming_number,
            self._settings.current,
            self._settings.classes.index_by_name,
            self._settings.tenants,
        )

    def _open(
        self, message: http1.Message, request_id: bytes, exchange: Exchange, event: interface.Request, now_us: int
    ) -> OpenRequest:
        forwarded = ForwardedRequest(
            message.method,
            message.target,
            message.body,
            request_id,
            forwarded_headers(message),
            now_us + event.time_left,
        )
        request_class = self._settings.current.classes[event.class_index]
        exchange.deadline = forwarded.deadline
        request = OpenRequest(event.request, forwarded, exchange, request_class, now_us)
        request.work_hint = event.work_hint
        request.slots = event.slots
        return request
