"""Lets the random histories drive a version of the decisions from before the standard terms.

The histories speak the present names of `badgerroad.load_balancing.interface`. `adapt` gives the earlier module
`heathcrank.interface` the same names beside its own, so that both versions can be played with one history.
"""

from types import SimpleNamespace

EARLIER_CLASSES = {
    "Endpoint": "WorkerInfo",
    "EndpointList": "WorkerList",
    "AttemptStarted": "Started",
    "AttemptProgressed": "Progress",
    "AttemptEnded": "Outcome",
    "ClientDisconnected": "ClientGone",
    "HealthCheck": "Probe",
    "HealthCheckResult": "ProbeResult",
    "Reject": "Refuse",
    "FetchEndpoints": "Fetch",
    "SendToPeer": "Tell",
}
EARLIER_FIELDS = {
    "RequestClass": {
        "latency_objective": "aim",
        "objective_per_work": "stretch",
        "deduplication_scope": "group",
        "deduplication_window": "window",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "machine_type": "kind",
    },
    "Settings": {
        "dispatcher_count": "dispatchers",
        "dispatcher_index": "number",
        "hedging_allowed": "second_copies",
        "cancel_allowed": "can_cancel",
        "health_checks_allowed": "can_probe",
        "must_subscribe": "subscribe",
        "poll_interval": "ask_within",
        "slow_start_share": "cold_from",
        "slow_start_duration": "cold_for",
        "overload_threshold": "fall_multiple",
        "overload_window": "overload_for",
        "reports_start": "tells_start",
        "over_quota_priority": "over_quota_worth",
        "load_report_fields": "report_names",
        "clients_mark_retries": "marks_retry",
        "retry_after_allowed": "retry_after",
        "peers_allowed": "may_talk_to_peers",
        "drain_grace": "stop_within",
        "progress_interval": "progress_every",
        "connection_idle_timeout": "connection_idle",
    },
    "WorkerInfo": {"started_at": "since", "machine_type": "kind"},
    "Request": {"work_hint": "hint", "client_retry": "repeat"},
    "Progress": {"completed_share": "share"},
    "Outcome": {"load_report": "load"},
    "ProbeResult": {"load_report": "load"},
}
EARLIER_CONSTANTS = {
    "RetrySemantics": {"IDEMPOTENT": "SAFE", "IDEMPOTENCY_KEY": "KEYED", "NON_IDEMPOTENT": "UNSAFE"},
    "DeduplicationScope": {"ALL": "GROUP_ALL", "ZONE": "GROUP_ZONE", "CELL": "GROUP_CELL"},
    "WorkerState": {"READY": "READY", "DRAINING": "DRAINING", "GONE": "GONE"},
    "AttemptResult": {
        "OK": "OK",
        "ERROR": "ERROR",
        "QUEUE_FULL": "FULL",
        "TIMEOUT": "TIMEOUT",
        "CONNECT_FAILED": "CONNECT_FAILED",
        "RESET": "RESET",
        "CANCELLED": "CANCELLED",
        "NOT_NEEDED": "MOOT",
        "INVALID_REQUEST": "REJECTED",
        "NOT_SENT": "UNSENT",
    },
    "ListScope": {"INCREMENTAL": "CHANGES", "COMPLETE": "WHOLE", "CACHED": "CACHED", "FAILED": "FAILED"},
}


def adapt(interface):
    """Give an earlier `interface` module the present names of classes, fields and constants."""
    for name, fields in EARLIER_FIELDS.items():
        _accept_present_fields(getattr(interface, name), fields)
    for present, earlier in EARLIER_CLASSES.items():
        setattr(interface, present, getattr(interface, earlier))
    for present, members in EARLIER_CONSTANTS.items():
        values = {member: getattr(interface, earlier) for member, earlier in members.items()}
        setattr(interface, present, SimpleNamespace(**values))


def _accept_present_fields(record, fields):
    """The named tuple `record` takes and gives its fields by their present names too."""
    make, replace = record.__new__, record._replace

    def earlier(values):
        return {fields.get(name, name): value for name, value in values.items()}

    record.__new__ = staticmethod(lambda cls, *args, **values: make(cls, *args, **earlier(values)))
    record._replace = lambda self, **values: replace(self, **earlier(values))
    for present, name in fields.items():
        setattr(record, present, getattr(record, name))


def describe(value):
    """A value of the interface as text that does not depend on the version's names or enumerations."""
    if type(value).__name__ == "Settings":
        return "settings"  # the versions differ in fields that nothing reads
    if isinstance(value, tuple | list):
        return f"({', '.join(describe(part) for part in value)})"
    return repr(str(value)) if isinstance(value, str) else repr(value)


def present_name(value):
    """The present name of the class of an event or action of either version."""
    name = type(value).__name__
    return next((present for present, earlier in EARLIER_CLASSES.items() if earlier == name), name)


def pending_requests(decisions):
    """By number, what either version of the decisions has pending: whether it is finished, and its class."""
    if hasattr(decisions, "jobs"):  # the earlier version
        return {number: (job.done, job.cls) for number, job in decisions.jobs.items()}
    return {number: (request.finished, request.request_class) for number, request in decisions.requests.items()}
