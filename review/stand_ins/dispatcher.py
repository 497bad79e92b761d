"""Starts dispatchers by the `run` line of the deploy file, as the users' deployment page describes."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import tomllib
from pathlib import Path

from stand_ins import http

ROOT = Path(__file__).resolve().parents[2]


def free_port():
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request_class(name, semantics="retryable", **fields):
    """Return a class of the settings."""
    return {
        "name": name,
        "semantics": semantics,
        "group": "all",
        "dedupWindowUs": 5_000_000,
        "goalTimeUs": 1_000_000,
        "deadlineUs": 3_000_000,
        "lateWorth": 0.5,
        "stream": False,
        "worth": 1.0,
        **fields,
    }


def settings(classes, siblings=1, index=0, permissions=None, **fields):
    """Return the settings of a small deployment."""
    return {
        "siblings": siblings,
        "index": index,
        "tickUs": 2000,
        "zone": 0,
        "zones": ["a"],
        "hostTypes": ["m1"],
        "registryMode": "subscribe",
        "worthBy": "request",
        "weightKind": "none",
        "requestClasses": classes,
        "callers": {"marksRetry": True},
        "permissions": {
            "tryLimit": 4,
            "secondCopies": False,
            "cancelling": True,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "connIdleUs": 60_000_000,
            "connectTimeoutUs": 150_000,
            **(permissions or {}),
        },
        "obligations": {
            "answerSlackUs": 8000,
            "askWithinUs": 10_000_000,
            "stopSendingWithinUs": 500_000,
            "coldFrom": 0.13,
            "coldUs": 24_000_000,
            "fallMultiple": 3.0,
            "overloadForUs": 3_000_000,
        },
        "familyInfo": {"tellsStart": True, "progressUs": 0, "classStretch": [2.0] * len(classes)},
        "report": {"names": [], "via": "none"},
        **fields,
    }


class Dispatcher:
    """One dispatcher process and its addresses."""

    def __init__(self, record, folder, name="n0"):
        """Choose the addresses; nothing is started."""
        self.record = record
        self.folder = Path(folder)
        self.name = name
        self.address = ("127.0.0.1", free_port())
        self.config = self.folder / f"config-{name}.json"
        self.process = None

    async def start(self, settings_object, discovery, **fields):
        """Start the program and wait until it is ready."""
        self.config.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.address[1]}",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": {"seq": 0, "whole": True, "hosts": []},
                    "settings": settings_object,
                    **fields,
                }
            )
        )
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"127.0.0.1:{self.address[1]}",
            "PROXY_DISCOVERY": f"127.0.0.1:{discovery.port}",
            "PROXY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add("dispatcher_started", name=self.name, pid=self.process.pid)
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Wait until the program has answered 200 to /-/ready; raises TimeoutError after 30 s."""
        async with asyncio.timeout(30):
            while True:
                if self.process.returncode is not None:
                    raise RuntimeError("the dispatcher has ended before it was ready")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                    status = (await http.read_message(reader)).status
                    writer.close()
                    if status == 200:
                        self.record.add("dispatcher_ready", name=self.name)
                        return
                await asyncio.sleep(0.05)

    def send(self, number):
        """Send a signal to the process."""
        self.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
