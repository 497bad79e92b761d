"""Starts `badgerroad serve` as a separate process with the scripted peers of a loopback test."""

import asyncio
import contextlib
import json
import os
import sys


@contextlib.asynccontextmanager
async def program(world, config, operator=None, **variables):
    """Run the program on a free port, and yield its process once it is ready; standard error goes to a pipe."""
    listener = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    world.port = listener.sockets[0].getsockname()[1]  # the workers send job events to this port too
    listener.close()  # frees the port for the program
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{world.port}",
                "discovery": f"127.0.0.1:{world.discovery.port}",
                "seed": "2",
                "settings": world.settings,
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "badgerroad",
        "serve",
        *(["--operator", str(operator)] if operator else []),
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(config), **variables},
    )
    ready = False
    while not ready:
        with contextlib.suppress(OSError):
            ready = (await world.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
        await asyncio.sleep(0.02)
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()
