"""The dispatcher: assembles its components and is the interface for start-up, extensions and other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from badgerroad.class_table import ClassTable
from badgerroad.config import Config
from badgerroad.discovery.endpoint_watch import EndpointWatch
from badgerroad.discovery.reader import EndpointListReader
from badgerroad.dispatcher.active_settings import ActiveSettings
from badgerroad.dispatcher.attempts import Attempts
from badgerroad.dispatcher.decision_host import ActionHandlers, DecisionHost
from badgerroad.dispatcher.extensions import Extensions
from badgerroad.dispatcher.intake import RequestIntake
from badgerroad.dispatcher.open_requests import OpenRequests
from badgerroad.dispatcher.shutdown import ShutdownDeadline
from badgerroad.extension import DispatcherExtension
from badgerroad.frontend.http import Frontend
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.availability import unavailable_workers
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.net import logs
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget, MemoryPlan
from badgerroad.net.process_memory import BYTES_PER_KB, KB_PER_MB, resident_bytes
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.requests import OpenRequest

if TYPE_CHECKING:
    from badgerroad.admin.counters import Counters

log = logs.get("badgerroad")


class Dispatcher:
    """The part of a dispatcher process that serves clients. `start` opens its listener."""

    def __init__(
        self, config: Config, wheel: TimerWheel, counts: Counters | None = None, reserved_descriptors: int = 0
    ) -> None:
        """Assemble the dispatcher. `counts` is None if no admin listener serves them; `reserved_descriptors` file
        descriptors are left for other uses."""
        self.config = config
        self.wheel = wheel
        self.clock = wheel.clock
        self.counts = counts
        self.memory_plan = MemoryPlan.divide(config.memory_mb, config.max_sockets, upgrades=config.admin is not None)
        self.descriptors = DescriptorBudget(self.memory_plan.connections, reserved_descriptors)
        self.memory = MemoryBudget(self.memory_plan.message_bytes)
        self.decisions = DispatchPolicy(config.settings, config.seed)
        self._active = ActiveSettings(config.settings)
        self._extensions = Extensions()
        self._shutdown = ShutdownDeadline(wheel.clock)
        self._requests = OpenRequests(
            wheel,
            self.memory,
            self._extensions,
            counts,
            lambda request: self._host.handle_event(interface.RequestOverdue(request.number)),
        )
        self._host = DecisionHost(self.decisions, wheel.clock, self._extensions, self._requests.fail_internally)
        self.open_requests = self._requests.by_number
        self.requests_by_id = self._requests.by_id
        self.handle_event = self._host.handle_event
        self.perform_actions = self._host.perform_actions
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
        attempts = Attempts(
            wheel,
            self.descriptors,
            self.memory,
            self._active,
            self._host,
            self._requests,
            self._extensions,
            lambda worker: self.endpoint_watch.zones.get(worker, ""),
            lambda: self.frontend.free_descriptors(),
            counts,
        )
        self.backend = attempts.backend
        self.intake = RequestIntake(
            wheel.clock,
            self._active,
            self._host,
            self._requests,
            self._extensions,
            self.backend,
            self.endpoint_watch,
            self._shutdown,
            counts,
        )
        self.frontend = Frontend(wheel, self.descriptors, self.memory, self.intake)
        self._host.set_action_handlers(self._action_handlers(attempts))

    def _action_handlers(self, attempts: Attempts) -> ActionHandlers:
        watch, backend = self.endpoint_watch, self.backend
        return {
            interface.Send: attempts.send,
            interface.Reject: attempts.reject,
            interface.Fail: attempts.fail,
            interface.Cancel: attempts.cancel,
            interface.SetTimer: self._set_timer,
            interface.Subscribe: lambda action: watch.subscribe(action.on),
            interface.HealthCheck: lambda action: backend.check_health(str(action.worker)),
            interface.CloseIdle: lambda action: backend.close_idle(str(action.worker)),
            interface.Log: lambda action: log.info("decisions_message", text=action.text),
        }

    @property
    def settings(self) -> interface.Settings:
        """The settings in force."""
        return self._active.current

    @property
    def classes(self) -> ClassTable:
        """The request classes in force, by name and index."""
        return self._active.classes

    @property
    def extensions(self) -> tuple[DispatcherExtension, ...]:
        """The extensions, in the order in which they were set."""
        return self._extensions.active

    def set_extension(self, name: str, extension: DispatcherExtension | None) -> None:
        """Set or replace the extension of that name and pass it the settings; None removes it."""
        self._extensions.set(name, extension)
        if extension is not None:
            extension.settings_changed(self.settings)

    def extension(self, name: str) -> DispatcherExtension | None:
        """Return the extension of that name, or None."""
        return self._extensions.get(name)

    def start(self, shared: bool = False) -> Address:
        """Listen and start discovery. With `shared`, other processes may listen at the same address. Raises OSError."""
        address = self.frontend.listen(self.config.listen, shared=shared or self.config.admin is not None)
        self.start_discovery(self.config.cached_endpoints)
        return address

    def start_discovery(self, cached_endpoints: Any) -> None:
        """Use a cached endpoint list, in discovery's wire form, and request the changes since then from discovery."""
        self.endpoint_watch.load_cached(cached_endpoints)
        self._configure_watch()

    def reload(self, config: Config) -> None:
        """Put a checked configuration in force. Open requests continue and the endpoint watch moves to the new
        discovery address. Name, listener addresses and the socket limit take effect only at the next start."""
        self._warn_of_fields_for_next_start(config)
        log.info(
            "configuration_reloaded",
            discovery=f"{config.discovery[0]}:{config.discovery[1]}",
            classes=",".join(request_class.name for request_class in config.settings.classes),
            attempts=config.settings.max_attempts,
        )
        self.config = self.config._replace(
            discovery=config.discovery,
            settings=config.settings,
            zones=config.zones,
            machine_types=config.machine_types,
            keys=config.keys,
        )
        self._apply_settings(config)
        self._configure_watch()
        self.endpoint_watch.change_address(config.discovery)

    def adopt_name_indices(self, zones: list[str], machine_types: list[str]) -> None:
        """Use the indices of zones and machine types that another process of this dispatcher has assigned."""
        reader = self.endpoint_watch.reader
        if (reader.zones, reader.machine_types) != (zones, machine_types):
            reader.zones = list(zones)
            reader.machine_types = list(machine_types)
            self._apply_settings(self.config)

    @property
    def ready(self) -> bool:
        """Whether discovery has answered or counts as unavailable."""
        return self.endpoint_watch.has_answered

    @property
    def accepts_clients(self) -> bool:
        """Whether this process accepts new client connections."""
        return self.ready and self.frontend.serving and not self.frontend.draining

    @property
    def has_pending_responses(self) -> bool:
        """Whether a client is still waiting for a response or for the rest of one."""
        return self.frontend.has_pending_responses or self._requests.has_unanswered

    def metrics(self) -> dict[str, Any]:
        """Return the metrics that the admin listener serves. Raises RuntimeError if this dispatcher keeps no counts."""
        if self.counts is None:
            raise RuntimeError("no metrics: this dispatcher was created without counters")
        metrics = self.counts.metrics(
            len(self.endpoint_watch.states), unavailable_workers(self.decisions.workers.values(), self.clock.now())
        )
        return {
            **metrics,
            "clients": len(self.frontend.connections),
            "resident_kb": resident_bytes() // BYTES_PER_KB,
            "memory_limit_kb": int(self.config.memory_mb * KB_PER_MB),
            "messages_kb": self.memory.used // BYTES_PER_KB,
            "messages_limit_kb": self.memory.limit // BYTES_PER_KB,
        }

    def next_request_number(self) -> int:
        """Return a number that no other request of this process has."""
        return self._requests.next_number()

    def register_request(self, request: OpenRequest) -> None:
        """Register a request that another process has read and this one will answer."""
        self._requests.register(request, self.settings.tick)

    def release_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that has been answered and has no attempt in flight."""
        self._requests.release_if_finished(request)

    def drain(self) -> None:
        """Begin a graceful shutdown. Requests that still arrive are answered by the deadline of the shutdown."""
        self._shutdown.begin(self.settings.classes)
        if not self.settings.clients_mark_retries:
            # Unmarked retries are recognised by the time that the client has left. The shutdown shortens that time, so
            # first requests would look like retries.
            self.handle_event(interface.SettingsChanged(self.settings._replace(clients_mark_retries=True)))
        self.frontend.drain()

    def end_client_connections(self) -> bool:
        """Close client connections, once no response is pending. Returns whether all are closed."""
        return self.frontend.end_connections()

    def close(self) -> None:
        """Close the listener, the endpoint watch and idle connections to workers."""
        self.frontend.close()
        self.endpoint_watch.close()
        self.backend.shed_idle_connections()

    def _configure_watch(self) -> None:
        self.endpoint_watch.set_agent_mode(not self.settings.must_subscribe, self.settings.drain_grace)

    def _warn_of_fields_for_next_start(self, config: Config) -> None:
        for field, before, after in (
            ("name", self.config.name, config.name),
            ("listen", self.config.listen, config.listen),
            ("ops", self.config.admin, config.admin),
            ("sockets", self.config.max_sockets, config.max_sockets),
            ("memory_mb", self.config.memory_mb, config.memory_mb),
        ):
            if before != after:
                log.warning("setting_needs_restart", field=field)

    def _apply_settings(self, config: Config) -> None:
        reader = self.endpoint_watch.reader
        settings = reader.renumbered(config.settings, config.zones, config.machine_types)
        self._active.replace(settings, {request.request_class for request in self.open_requests.values()})
        self.backend.apply_settings(self.settings)
        if self.counts:
            self.counts.add_classes(request_class.name for request_class in settings.classes)
        self.handle_event(interface.SettingsChanged(self.settings))
        for extension in self.extensions:
            extension.settings_changed(self.settings)

    def _set_timer(self, action: interface.SetTimer) -> None:
        # `awaits_peer`: heartbeat timers must not expire because this process itself did not run for a while.
        self.wheel.after(action.delay, lambda: self.handle_event(interface.Timer(action.token)), awaits_peer=True)

    def _endpoints_updated(self, update: interface.EndpointList, addresses: dict[str, Address]) -> None:
        for worker, address in addresses.items():
            self.backend.set_address(worker, address)
        self.handle_event(update)
        if update.scope != interface.ListScope.FAILED:
            self.backend.forget_unlisted(self.endpoint_watch.states.__contains__)
        if update.entries and update.scope != interface.ListScope.CACHED:
            for extension in self.extensions:
                extension.endpoints_changed()
