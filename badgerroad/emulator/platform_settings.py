"""Creates the settings that the platform would send for a scenario."""

from __future__ import annotations

from badgerroad.emulator.scenario import Scenario


def settings_of(scenario: Scenario, number: int, zone: int) -> dict[str, object]:
    """Return the settings of one dispatcher, with the field names of the platform's protocol."""
    rules, us = scenario.rules, 1000
    return {
        "siblings": scenario.dispatchers,
        "index": number,
        "tickUs": 2000,
        "zone": zone,
        "zones": [h.name for h in scenario.zone],
        "hostTypes": [kind.name for kind in scenario.kind],
        "registryMode": "subscribe",
        "worthBy": "work",
        "callers": {"marksRetry": scenario.clients.marks_retry},
        "requestClasses": [
            {
                "name": cls.name,
                "semantics": cls.semantics,
                "group": cls.group,
                "stream": False,
                "goalTimeUs": int(cls.aim_ms * us),
                "deadlineUs": int(cls.deadline_ms * us),
                "dedupWindowUs": int(cls.window_ms * us),
                "worth": cls.worth,
            }
            for cls in scenario.cls
        ],
        "permissions": {
            "tryLimit": rules.max_attempts,
            "secondCopies": rules.second_copies,
            "cancelling": rules.cancelling,
            "probes": rules.probes,
            "retryAfter": rules.retry_after,
            "peers": False,
            "maxStreams": 1,
            "maxRetryAfterUs": int(rules.max_retry_after_ms * us),
            "connIdleUs": int(scenario.network.idle_s * 1e6),
            "connectTimeoutUs": int(scenario.network.connect_timeout_ms * us),
        },
        "obligations": {
            "answerSlackUs": int(rules.answer_slack_ms * us),
            "askWithinUs": int(rules.ask_within_s * 1e6),
            "stopSendingWithinUs": int(rules.drain_grace_ms * us),
            "coldFrom": rules.cold_from,
            "coldUs": int(rules.cold_s * 1e6),
            "fallMultiple": rules.fall_multiple,
            "overloadForUs": int(rules.fall_ms * us),
        },
        "familyInfo": {
            "tellsStart": rules.tells_start,
            "progressUs": int(rules.progress_ms * us),
            "classStretch": [cls.stretch for cls in scenario.cls],
        },
        "deductions": {
            "crossZone": rules.cross_zone_cost,
            "waste": 0.04,
            "lateFail": 0.08,
            "probe": 0.002,
            "handshake": 0.02,
        },
        "report": {"names": ["rps", "active", "x0", "x1"], "via": "probe"},
    }
