"""badgerroad, a dispatcher that pushes render jobs to issuer hosts.

Usage:
  badgerroad serve [--verbose]
  badgerroad check-config
  badgerroad version
  badgerroad (-h | --help)

Commands:
  serve         Serve until SIGTERM, then answer what is owed and exit.
  check-config  Read the configuration, say what it holds, and exit.
  version       Print the version.

Options:
  -v --verbose  Log debugging details too.
  -h --help     Show this text.

The configuration comes from PROXY_CONFIG, a JSON file; PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY override its
fields name, listen and discovery. On SIGHUP the file is read anew, and its discovery is moved to.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import List, Optional

from docopt import docopt
from tornado.ioloop import IOLoop

from badgerroad import __version__
from badgerroad.config import BadConfig, Config, load, reload
from badgerroad.dispatcher import Dispatcher
from badgerroad.net.wheel import Clock, Wheel

log = logging.getLogger("badgerroad")

GRACE = 800_000     # after SIGTERM new connections keep coming for a while
CHECK = 20_000


async def serve(config: Config) -> int:
    wheel = Wheel(Clock(), IOLoop.current())
    dispatcher = Dispatcher(config, wheel)
    done = asyncio.Event()

    def check(since: int) -> None:
        if dispatcher.owed or wheel.clock.now() - since < GRACE:
            wheel.after(CHECK, lambda: check(since))
        else:
            done.set()

    def stop() -> None:
        if not dispatcher.acquirers.draining:
            log.info("stopping: answering what is owed")
            dispatcher.drain()
            check(wheel.clock.now())

    def reread() -> None:
        try:
            dispatcher.reload(reload(os.environ))
        except BadConfig as e:
            log.error("reload: %s; the old configuration stays in force", " ".join(str(e).split()))

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reread)
    try:
        host, port = dispatcher.start()
    except OSError as e:
        print(f"badgerroad: listen: {config.listen[0]}:{config.listen[1]}: {e.strerror}", file=sys.stderr)
        return 1
    log.info("%s %s listens on %s:%d, discovery at %s:%d", config.name, __version__, host, port, *config.discovery)
    await done.wait()
    # The loop's end restores what signals do by themselves: one that comes then must not turn the exit into a crash.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    dispatcher.close()
    log.info("stopped")
    return 0


def main(arguments: Optional[List[str]] = None) -> int:
    options = docopt(__doc__ or "", argv=arguments)
    if options["version"]:
        print(f"badgerroad {__version__}")
        return 0
    try:
        config = load(os.environ)
    except BadConfig as e:
        print(f"badgerroad: {' '.join(str(e).split())}", file=sys.stderr)
        return 2
    if options["check-config"]:
        print(f"{config.name}: {len(config.settings.classes)} classes, {len(config.known['hosts'])} known hosts, "
              f"{config.sockets} sockets; listens on {config.listen[0]}:{config.listen[1]}")
        return 0
    logging.basicConfig(level=logging.DEBUG if options["--verbose"] else logging.INFO, stream=sys.stderr,
                        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s", datefmt="%H:%M:%S")
    gc.freeze()   # what start-up made stays: the collector need not look at it again
    return asyncio.run(serve(config))
