"""Compares start time, memory and CPU time per request of `serve` between two checkouts.

Usage: python benchmarks/serve_start.py CHECKOUT_A CHECKOUT_B [ROUNDS]

Both run in turn with the same interpreter, and are started as in production. The start is timed from the creation of the
process to the first 200 of /-/ready. Then REQUESTS jobs are sent over CLIENTS connections to workers that finish each at
once.
"""

import asyncio
import json
import os
import statistics
import sys
import time

REQUESTS, CLIENTS = 3_000, 8
SETTINGS = {
    "siblings": 1,
    "index": 0,
    "tickUs": 2000,
    "registryMode": "subscribe",
    "zones": ["a"],
    "hostTypes": ["m"],
    "requestClasses": [{"name": "preview", "semantics": "retryable", "goalTimeUs": 4_000_000, "deadlineUs": 6_000_000}],
    "permissions": {
        "tryLimit": 4,
        "secondCopies": True,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2_000_000,
        "connectTimeoutUs": 500_000,
        "connIdleUs": 60_000_000,
    },
    "obligations": {
        "stopSendingWithinUs": 500_000,
        "answerSlackUs": 8000,
        "coldFrom": 0.2,
        "coldUs": 1,
        "fallMultiple": 3,
        "overloadForUs": 3_000_000,
    },
    "familyInfo": {"tellsStart": True},
}


async def read_message(reader):
    """Return header and body of the next HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return head, await reader.readexactly(int(length[0].split(b":")[1])) if length else b""


def reply(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


async def measure(checkout, port):
    """Run one process of a checkout.

    Returns seconds until ready, MB when ready, MB after the jobs, and microseconds of CPU time per job.
    """
    worker_ports = []

    async def serve_worker(reader, writer):
        event_connection = None
        try:
            while True:
                head, _ = await read_message(reader)
                writer.write(reply(202))
                request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                event_connection = event_connection or await asyncio.open_connection("127.0.0.1", port)
                body = json.dumps(
                    {
                        "id": request_id,
                        "from": f"h{worker_ports.index(writer.get_extra_info('sockname')[1])}",
                        "state": "done",
                        "result": "x",
                    }
                ).encode()
                event_connection[1].write(
                    b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
                await read_message(event_connection[0])
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def serve_discovery(reader, writer):
        try:
            while True:
                head, _ = await read_message(reader)
                if b"index=" in head:
                    await asyncio.sleep(5)
                writer.write(
                    reply(
                        200,
                        json.dumps(
                            {
                                "seq": 1,
                                "whole": b"index=" not in head,
                                "hosts": [
                                    {
                                        "host": f"h{number}",
                                        "dial": f"127.0.0.1:{worker_port}",
                                        "site": "a",
                                        "class": "m",
                                        "block": number,
                                        "health": "ready",
                                        "share": 1.0,
                                        "born_ms": 0,
                                    }
                                    for number, worker_port in enumerate(worker_ports)
                                ],
                            }
                        ).encode(),
                    )
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    servers = [await asyncio.start_server(serve_worker, "127.0.0.1", 0) for _ in range(15)]
    worker_ports[:] = [server.sockets[0].getsockname()[1] for server in servers]
    discovery = await asyncio.start_server(serve_discovery, "127.0.0.1", 0)
    config = f"/tmp/serve_start.{os.getpid()}.json"
    with open(config, "w") as file:
        json.dump(
            {
                "name": "n",
                "listen": f"127.0.0.1:{port}",
                "seed": "1",
                "settings": SETTINGS,
                "discovery": f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}",
                "limits": {"sockets": 1024},
            },
            file,
        )
    started = time.perf_counter()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "badgerroad",
        "serve",
        cwd=checkout,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": config, "PYTHONPATH": checkout},
    )
    await until_ready(port)
    ready_s, ready_mb = time.perf_counter() - started, resident_mb(process.pid)
    cpu_us_before = cpu_us(process.pid)
    await asyncio.gather(*(run_client(port, number) for number in range(CLIENTS)))
    cpu_us_per_job = (cpu_us(process.pid) - cpu_us_before) / REQUESTS
    final_mb = resident_mb(process.pid)
    process.kill()
    await process.wait()
    for server in [*servers, discovery]:
        server.close()
    return ready_s, ready_mb, final_mb, cpu_us_per_job


async def until_ready(port):
    ready = False
    while not ready:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            ready = b" 200 " in (await read_message(reader))[0]
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.003)


async def run_client(port, number):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for job in range(REQUESTS // CLIENTS):
        writer.write(
            b"POST /preview/a HTTP/1.1\r\nRequest-Id: r%d-%d\r\nRequest-Timeout-Ms: 5000\r\n"
            b"Content-Length: 1\r\n\r\nx" % (number, job)
        )
        head, _ = await read_message(reader)
        assert b" 200 " in head, head
    writer.close()


def resident_mb(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_us(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK") * 1e6


def main():
    checkouts, rounds = sys.argv[1:3], int(sys.argv[3]) if len(sys.argv) > 3 else 9
    results = {checkout: [] for checkout in checkouts}
    for round_number in range(rounds):
        for index, checkout in enumerate(checkouts):
            results[checkout].append(asyncio.run(measure(os.path.abspath(checkout), 21000 + 2 * round_number + index)))
    print("| tree | start ms | MB ready | MB after | CPU us a job |\n| --- | ---: | ---: | ---: | ---: |")
    for name, checkout in zip("AB", checkouts, strict=False):
        columns = list(zip(*results[checkout], strict=False))
        cells = [
            f"{statistics.median(values) * scale:.{digits}f} "
            f"({min(values) * scale:.{digits}f} to {max(values) * scale:.{digits}f})"
            for values, scale, digits in zip(columns, (1000, 1, 1, 1), (0, 1, 1, 0), strict=False)
        ]
        print(f"| {name} | " + " | ".join(cells) + " |")
    ratios = [
        statistics.median(b[column] / a[column] for a, b in zip(*(results[c] for c in checkouts), strict=False))
        for column in range(4)
    ]
    print("| B / A, pair by pair | " + " | ".join(f"{ratio:.2f}" for ratio in ratios) + " |")


if __name__ == "__main__":
    main()
