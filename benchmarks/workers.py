"""Throughput of `serve --workers N` for several N: requests per second of N server processes on one address.

Usage: python benchmarks/workers.py [ROUNDS] [SECONDS]

This process simulates discovery. WORKER_PROCESSES processes simulate workers that complete each request at once.
CLIENT_PROCESSES processes simulate clients, which send one request after the other on keep-alive connections. These are
together never fewer than the server processes, so that they do not limit the throughput; the table shows how busy the
busiest one was. Prints one line for each N, over ROUNDS runs of each, which alternate.
"""

import asyncio
import json
import multiprocessing
import os
import statistics
import sys
import tempfile
import time

from serve_start import SETTINGS, cpu, rss

# JOB_EVENT_CONNECTIONS is the number of connections from each worker process to the dispatcher.
(
    SERVER_PROCESS_COUNTS,
    WORKER_PROCESSES,
    CLIENT_PROCESSES,
    CONNECTIONS_PER_CLIENT_PROCESS,
    WORKERS_PER_PROCESS,
    JOB_EVENT_CONNECTIONS,
) = (1, 2, 4), 2, 2, 32, 8, 24


class HttpPeer(asyncio.Protocol):
    """Splits a byte stream into HTTP messages, with little work, since the simulation must outpace the dispatcher."""

    def __init__(self, on_message):
        self.data, self.on_message = b"", on_message

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        while True:
            head_end = self.data.find(b"\r\n\r\n")
            if head_end < 0:
                return
            head = self.data[:head_end]
            length_at = head.lower().find(b"content-length:")
            size = int(head[length_at + 15 :].split(b"\r\n", 1)[0]) if length_at >= 0 else 0
            if len(self.data) < head_end + 4 + size:
                return
            body, self.data = self.data[head_end + 4 : head_end + 4 + size], self.data[head_end + 4 + size :]
            self.on_message(self, head, body)


def run_workers(process_number, port, pipe):
    """Simulate workers until the parent process sends a message, then send it the CPU time used."""

    async def serve():
        loop, idle_peers, waiting_events = asyncio.get_running_loop(), [], []

        def on_event_response(peer, head, _body):
            if waiting_events:
                peer.transport.write(waiting_events.pop())
            else:
                idle_peers.append(peer)

        def request_handler(name):
            def on_message(peer, head, _body):
                peer.transport.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
                request = head.split(b"Request-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
                body = b'{"id":"%s","from":"%s","state":"done","result":"x"}' % (request.encode(), name)
                event = b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                if idle_peers:
                    idle_peers.pop().transport.write(event)
                else:
                    waiting_events.append(event)

            return on_message

        ports = []
        for n in range(WORKERS_PER_PROCESS):
            name = b"h%d-%d" % (process_number, n)
            server = await loop.create_server(lambda name=name: HttpPeer(request_handler(name)), "127.0.0.1", 0)
            ports.append((name.decode(), server.sockets[0].getsockname()[1]))
        pipe.send(ports)
        await loop.run_in_executor(None, pipe.recv)  # sent once the dispatcher listens
        for _ in range(JOB_EVENT_CONNECTIONS):
            idle_peers.append((await loop.create_connection(lambda: HttpPeer(on_event_response), "127.0.0.1", port))[1])
        pipe.send(None)
        await loop.run_in_executor(None, pipe.recv)

    asyncio.run(serve())
    pipe.send(time.process_time())


def run_clients(process_number, port, seconds, pipe):
    """Simulate clients for `seconds`, then send the parent the requests sent, those answered with 200, and the CPU time."""
    counts, end = [0, 0], time.monotonic() + seconds  # counts: requests sent, requests answered with 200

    async def load():
        loop = asyncio.get_running_loop()

        def send_request(peer):
            counts[0] += 1
            peer.transport.write(
                b"POST /preview/a HTTP/1.1\r\nRequest-Id: r%d-%d\r\nRequest-Timeout-Ms: 5000\r\n"
                b"Content-Length: 1\r\n\r\nx" % (process_number, counts[0])
            )

        def on_response(peer, head, _body):
            counts[1] += head.startswith(b"HTTP/1.1 200")
            if time.monotonic() < end:
                send_request(peer)

        for _ in range(CONNECTIONS_PER_CLIENT_PROCESS):
            send_request((await loop.create_connection(lambda: HttpPeer(on_response), "127.0.0.1", port))[1])
        await asyncio.sleep(seconds + 0.3)

    asyncio.run(load())
    pipe.send((counts[0], counts[1], time.process_time()))


def measure(size, seconds, port):
    """Measure one run with `size` server processes.

    Returns requests per second, CPU time of all dispatcher processes in us per request, their memory in MB, and the CPU
    utilisation of the busiest simulating process.
    """

    def start(target, *arguments):
        parent_end, child_end = multiprocessing.Pipe()
        multiprocessing.Process(target=target, args=(*arguments, child_end), daemon=True).start()
        return parent_end

    worker_pipes = [start(run_workers, n, port) for n in range(WORKER_PROCESSES)]
    worker_ports = [x for pipe in worker_pipes for x in pipe.recv()]
    return asyncio.run(_measure(size, seconds, port, worker_pipes, worker_ports, start))


async def _measure(size, seconds, port, worker_pipes, worker_ports, start):
    def on_discovery_request(peer, head, _body):
        body = json.dumps(
            {
                "seq": 1,
                "whole": b"index=" not in head,
                "hosts": []
                if b"index=" in head
                else [
                    {
                        "host": n,
                        "dial": f"127.0.0.1:{p}",
                        "site": "a",
                        "class": "m",
                        "block": 1,
                        "health": "ready",
                        "share": 1.0,
                        "born_ms": 0,
                    }
                    for n, p in worker_ports
                ],
            }
        ).encode()
        response = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        asyncio.get_running_loop().call_later(5 if b"index=" in head else 0, peer.transport.write, response)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: HttpPeer(on_discovery_request), "127.0.0.1", 0)
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/c.json", "w") as f:
            json.dump(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{port}",
                    "seed": "1",
                    "settings": SETTINGS,
                    "discovery": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                    "limits": {"sockets": 1024},
                },
                f,
            )
        options = ["--workers", str(size)] if size > 1 else []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgerroad",
            "serve",
            *options,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": f"{folder}/c.json", "PYTHONPATH": os.getcwd()},
        )
        await asyncio.sleep(2.0 + 0.5 * size)
        for pipe in worker_pipes:
            pipe.send(None)
        for pipe in worker_pipes:
            await loop.run_in_executor(None, pipe.recv)
        with open(f"/proc/{process.pid}/task/{process.pid}/children") as f:
            pids = [int(p) for p in f.read().split()] or [process.pid]
        assert len(pids) == size, pids
        cpu_before = [cpu(p) for p in pids]
        client_pipes = [start(run_clients, n, port, seconds) for n in range(CLIENT_PROCESSES)]
        client_results = [await loop.run_in_executor(None, pipe.recv) for pipe in client_pipes]
        cpu_us = sum(cpu(p) - before for p, before in zip(pids, cpu_before, strict=False))
        memory = sum(rss(p) for p in {*pids, process.pid})
        for pipe in worker_pipes:
            pipe.send(None)
        cpu_times = [await loop.run_in_executor(None, pipe.recv) for pipe in worker_pipes] + [
            c[2] for c in client_results
        ]
        process.terminate()
        await process.wait()
        server.close()
    sent, answered = sum(c[0] for c in client_results), sum(c[1] for c in client_results)
    assert answered == sent, (sent, answered)
    return answered / seconds, cpu_us / answered, memory, max(cpu_times) / seconds


def main():
    rounds, seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 3, float(sys.argv[2]) if len(sys.argv) > 2 else 5.0
    results = {size: [] for size in SERVER_PROCESS_COUNTS}
    for k in range(rounds):
        for size in SERVER_PROCESS_COUNTS:
            results[size].append(measure(size, seconds, 22100 + 10 * k + size))
    print(
        "| processes | requests/s | relative to one | CPU us/request | memory MB with supervisor | busiest simulator |"
    )
    print("| ---: | ---: | ---: | ---: | ---: | ---: |")
    for size in SERVER_PROCESS_COUNTS:
        rates, cpu_us, memory, utilisation = zip(*results[size], strict=False)
        ratios = [rate / one[0] for rate, one in zip(rates, results[SERVER_PROCESS_COUNTS[0]], strict=False)]
        print(
            f"| {size} | {statistics.median(rates):.0f} ({min(rates):.0f} to {max(rates):.0f}) | "
            f"{statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f}) | {statistics.median(cpu_us):.0f} | "
            f"{statistics.median(memory):.0f} | {max(utilisation):.2f} |"
        )


if __name__ == "__main__":
    main()
