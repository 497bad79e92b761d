"""Start time, memory and CPU per request of `serve`, of two trees side by side.

Usage: python benchmarks/serve_start.py TREE_A TREE_B [ROUNDS]

Each tree is a checkout; both run on this interpreter, in turn. Started as the platform starts it; timed from the
spawn to the first 200 of /-/ready; then REQUESTS jobs over 8 connections at a host that finishes at once.
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


async def read(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    size = [ln for ln in head.lower().split(b"\r\n") if ln.startswith(b"content-length:")]
    return head, await reader.readexactly(int(size[0].split(b":")[1])) if size else b""


def reply(status, body=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


async def once(tree, port):
    """[start in s, MB when ready, MB after the jobs, CPU in us a job] of one process of a tree."""
    hosts = []

    async def host(reader, writer):
        back = None
        try:
            while True:
                head, _ = await read(reader)
                writer.write(reply(202))
                name = head.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                back = back or await asyncio.open_connection("127.0.0.1", port)
                body = json.dumps(
                    {
                        "id": name,
                        "from": f"h{hosts.index(writer.get_extra_info('sockname')[1])}",
                        "state": "done",
                        "result": "x",
                    }
                ).encode()
                back[1].write(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await read(back[0])
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def discovery(reader, writer):
        try:
            while True:
                head, _ = await read(reader)
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
                                        "host": f"h{n}",
                                        "dial": f"127.0.0.1:{p}",
                                        "site": "a",
                                        "class": "m",
                                        "block": n,
                                        "health": "ready",
                                        "share": 1.0,
                                        "born_ms": 0,
                                    }
                                    for n, p in enumerate(hosts)
                                ],
                            }
                        ).encode(),
                    )
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    servers = [await asyncio.start_server(host, "127.0.0.1", 0) for _ in range(15)]
    hosts[:] = [s.sockets[0].getsockname()[1] for s in servers]
    registry = await asyncio.start_server(discovery, "127.0.0.1", 0)
    config = f"/tmp/serve_start.{os.getpid()}.json"
    with open(config, "w") as f:
        json.dump(
            {
                "name": "n",
                "listen": f"127.0.0.1:{port}",
                "seed": "1",
                "settings": SETTINGS,
                "discovery": f"127.0.0.1:{registry.sockets[0].getsockname()[1]}",
                "limits": {"sockets": 1024},
            },
            f,
        )
    began = time.perf_counter()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "badgerroad",
        "serve",
        cwd=tree,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": config, "PYTHONPATH": tree},
    )
    await until_ready(port)
    took, idle = time.perf_counter() - began, rss(process.pid)
    before = cpu(process.pid)
    await asyncio.gather(*(client(port, n) for n in range(CLIENTS)))
    used = (cpu(process.pid) - before) / REQUESTS
    after = rss(process.pid)
    process.kill()
    await process.wait()
    for server in [*servers, registry]:
        server.close()
    return took, idle, after, used


async def until_ready(port):
    ready = False
    while not ready:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            ready = b" 200 " in (await read(reader))[0]
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.003)


async def client(port, number):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for k in range(REQUESTS // CLIENTS):
        writer.write(
            b"POST /preview/a HTTP/1.1\r\nRequest-Id: r%d-%d\r\nRequest-Timeout-Ms: 5000\r\n"
            b"Content-Length: 1\r\n\r\nx" % (number, k)
        )
        head, _ = await read(reader)
        assert b" 200 " in head, head
    writer.close()


def rss(pid):
    with open(f"/proc/{pid}/statm") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK") * 1e6


def main():
    trees, rounds = sys.argv[1:3], int(sys.argv[3]) if len(sys.argv) > 3 else 9
    got = {tree: [] for tree in trees}
    for k in range(rounds):
        for n, tree in enumerate(trees):
            got[tree].append(asyncio.run(once(os.path.abspath(tree), 21000 + 2 * k + n)))
    print("| tree | start ms | MB ready | MB after | CPU us a job |\n| --- | ---: | ---: | ---: | ---: |")
    for name, tree in zip("AB", trees, strict=False):
        columns = list(zip(*got[tree], strict=False))
        cells = [
            f"{statistics.median(c) * s:.{d}f} ({min(c) * s:.{d}f} to {max(c) * s:.{d}f})"
            for c, s, d in zip(columns, (1000, 1, 1, 1), (0, 1, 1, 0), strict=False)
        ]
        print(f"| {name} | " + " | ".join(cells) + " |")
    ratios = [statistics.median(b[k] / a[k] for a, b in zip(*(got[t] for t in trees), strict=False)) for k in range(4)]
    print("| B / A, pair by pair | " + " | ".join(f"{r:.2f}" for r in ratios) + " |")


if __name__ == "__main__":
    main()
