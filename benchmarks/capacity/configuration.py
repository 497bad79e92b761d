"""Builds the configuration of the measured dispatchers, with settings of the size of the target, and endpoint lists."""

from __future__ import annotations

import json
import os
from typing import Any

DESCRIPTOR_LIMIT = 1_024
TASK_S = 600  # deadline of a task in seconds, longer than any measurement
ZONES = 19
MACHINE_TYPES = 4
WORKERS_A_RACK = 40
# The port is below the range of ephemeral ports, and different for each measuring process.
WORKER_PORT = 10_000 + os.getpid() % 20_000


def worker_address(number: int) -> str:
    """Return the loopback address of a worker; each has a different one, which identifies it to the simulation."""
    return f"127.9.{number >> 8}.{number & 255}"


def worker_entry(number: int, health: str = "ready") -> dict[str, Any]:
    """Return an entry of the endpoint list, with names as long as in production."""
    return {
        "host": f"w-{number:05d}.zone-{number % ZONES:02d}",
        "dial": f"{worker_address(number)}:{WORKER_PORT}",
        "site": f"zone-{number % ZONES:02d}",
        "class": f"kind-{number % MACHINE_TYPES}",
        "block": number // WORKERS_A_RACK,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def worker_entries(count: int) -> list[dict[str, Any]]:
    """Return the entries of workers 0 to `count` - 1."""
    return [worker_entry(number) for number in range(count)]


def settings(
    dispatchers: int,
    number: int = 0,
    teams: int = 0,
    quota_per_s: float = 0.0,
    retry_after: bool = True,
    probes: bool = True,
) -> dict[str, Any]:
    """Return the settings of dispatcher `number` of `dispatchers`, with `teams` tenants."""
    return {
        "siblings": dispatchers,
        "index": number,
        "tickUs": 2000,
        "zone": 0,
        "zones": [f"zone-{zone:02d}" for zone in range(ZONES)],
        "hostTypes": [f"kind-{kind}" for kind in range(MACHINE_TYPES)],
        "registryMode": "subscribe",
        "requestClasses": [
            {
                "name": "task",
                "semantics": "retryable",
                "goalTimeUs": TASK_S * 1_000_000,
                "deadlineUs": TASK_S * 1_000_000,
                "worth": 1.0,
            }
        ],
        "accounts": [{"name": f"team-{team:03d}", "quotaPerS": quota_per_s, "share": 1.0} for team in range(teams)],
        "overShareWorth": 0.2,
        "deductions": {"crossZone": 0.1},
        "permissions": {
            "tryLimit": 4,
            "secondCopies": True,
            "cancelling": True,
            "probes": probes,
            "retryAfter": retry_after,
            "maxRetryAfterUs": 2_000_000,
            "connectTimeoutUs": 150_000,
            "connIdleUs": 60_000_000,
        },
        "obligations": {
            "askWithinUs": 10_000_000,
            "stopSendingWithinUs": 500_000,
            "answerSlackUs": 8000,
            "coldFrom": 0.13,
            "coldUs": 24_000_000,
            "fallMultiple": 3.0,
            "overloadForUs": 3_000_000,
        },
        "familyInfo": {"tellsStart": True},
        "report": {"names": ["rps", "active", "x0"], "via": "probe"},
    }


def settings_text(**arguments: Any) -> bytes:
    return json.dumps(settings(**arguments)).encode()


def configuration(
    listen: str, discovery: str, dispatcher_settings: dict[str, Any], known: list[dict[str, Any]], seed: int = 1
) -> dict[str, Any]:
    """Return the configuration of one dispatcher; `known` is the endpoint list that the dispatcher starts with."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"sockets": DESCRIPTOR_LIMIT},
        "settings": dispatcher_settings,
        "known": {"seq": 1 if known else 0, "whole": True, "hosts": known},
    }
