"""Lets the random histories drive earlier versions of the policy, which use other names.

The histories use the present names of `badgerroad.load_balancing.interface` and `state`. `adapt` adds them to the earlier
module `heathcrank.interface`, and `add_present_functions` to an earlier module `state`, so that one history can be played
to both versions.
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

EARLIER_FUNCTIONS = {
    "export_learned_state": "copy_out",
    "import_learned_state": "copy_in",
    "export_request": "job_out",
    "import_request": "job_in",
    "withdraw_request": "job_gone",
    "attempt_cost": "cost_of",
    "request_class_from_values": "class_of",
}
"""The functions of `state` that the histories call, with their names in earlier versions."""


def add_present_functions(state):
    """Add the present names of functions to an earlier `state` module."""
    for present, earlier in EARLIER_FUNCTIONS.items():
        if not hasattr(state, present):
            setattr(state, present, getattr(state, earlier))


def adapt(interface):
    """Add the present names of classes, fields and constants to an earlier `interface` module."""
    for name, fields in EARLIER_FIELDS.items():
        _accept_present_fields(getattr(interface, name), fields)
    for present, earlier in EARLIER_CLASSES.items():
        setattr(interface, present, getattr(interface, earlier))
    for present, members in EARLIER_CONSTANTS.items():
        values = {member: getattr(interface, earlier) for member, earlier in members.items()}
        setattr(interface, present, SimpleNamespace(**values))


def _accept_present_fields(record, fields):
    """Let the named tuple class `record` accept and provide its fields by their present names too."""
    make, replace = record.__new__, record._replace

    def earlier(values):
        return {fields.get(name, name): value for name, value in values.items()}

    record.__new__ = staticmethod(lambda cls, *args, **values: make(cls, *args, **earlier(values)))
    record._replace = lambda self, **values: replace(self, **earlier(values))
    for present, name in fields.items():
        setattr(record, present, getattr(record, name))


def describe(value):
    """Return a value of the interface as text that does not depend on the names or enumerations of a version."""
    if type(value).__name__ == "Settings":
        return "settings"  # the settings of the versions differ in fields that are not used
    if isinstance(value, tuple | list):
        return f"({', '.join(describe(part) for part in value)})"
    return repr(str(value)) if isinstance(value, str) else repr(value)


def present_name(value):
    """Return the present class name of an event or action of either version."""
    name = type(value).__name__
    return next((present for present, earlier in EARLIER_CLASSES.items() if earlier == name), name)


def pending_requests(policy):
    """Return whether each pending request is finished, and its class, by request number, for either version."""
    if hasattr(policy, "jobs"):  # `policy` is of the earlier version
        return {number: (job.done, job.cls) for number, job in policy.jobs.items()}
    return {number: (request.finished, request.request_class) for number, request in policy.requests.items()}
