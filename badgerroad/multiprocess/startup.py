"""What a server process is given at its start, and its share of the configuration."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from badgerroad.config import Config, ConfigError, check_config, check_reload, parse
from badgerroad.multiprocess import messages
from badgerroad.net import framing
from badgerroad.process_messages import Head

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

MIN_SOCKETS = 64  # a server process with fewer could hold no client besides what it needs itself
# Descriptors of the supervisor besides a channel for each server process: standard streams, the loop's own, the
# address, the second address and its callers.
SUPERVISOR_DESCRIPTORS = 32
SEED_SHIFT = 64  # bits: the seeds of server processes differ above those of the configuration


class ProcessIndex(NamedTuple):
    """Which server process of how many."""

    number: int
    size: int

    def share_of(self, config: Config) -> Config:
        """This process's share of the fleet, of the descriptors, and of what a worker that is warming up bears.

        Raises ConfigError if there are too few descriptors for all.
        """
        settings = config.settings
        sockets = (config.max_sockets - SUPERVISOR_DESCRIPTORS - self.size) // self.size
        if sockets < MIN_SOCKETS:
            raise ConfigError(
                f"limits.sockets: {config.max_sockets} are too few for {self.size} workers: {sockets} each"
            )
        return config._replace(
            admin=None,
            max_sockets=sockets,
            seed=config.seed + (self.number << SEED_SHIFT),
            settings=settings._replace(
                dispatcher_count=settings.dispatcher_count * self.size,
                dispatcher_index=settings.dispatcher_index * self.size + self.number,
            ),
        )


class StartParameters(NamedTuple):
    """What a process that the supervisor has started is given before anything else."""

    process_index: ProcessIndex
    sock: socket.socket  # of the channel to the supervisor
    config: Config
    operator: Operator | None

    @classmethod
    def receive(cls, environment: Mapping[str, str]) -> StartParameters:
        """Wait for the supervisor's first message. Raises ConfigError, also where there is no supervisor."""
        try:
            number, size, descriptor = map(int, environment[messages.ENVIRONMENT_VARIABLE].split("/"))
            sock = socket.socket(fileno=descriptor)
            head = _receive_head(sock)
        except (ValueError, OSError, framing.BadPacketError) as error:
            raise ConfigError(f"{messages.ENVIRONMENT_VARIABLE}: no supervisor: {error}") from error
        index = ProcessIndex(number, size)
        configuration = messages.Configuration.from_head(head)
        return cls(index, sock, config_from(configuration, index, environment, None), configuration.operator)


def _receive_head(sock: socket.socket) -> Head:
    """Raises OSError or BadPacketError, and ConfigError if the supervisor has gone."""
    reader = framing.Reader()
    message = None
    while message is None:
        data = sock.recv(framing.RECEIVE_BYTES)
        if not data:
            raise ConfigError(f"{messages.ENVIRONMENT_VARIABLE}: the supervisor has gone")
        message = reader.read(data)
    return message.head


def config_from(
    configuration: messages.Configuration, index: ProcessIndex, environment: Mapping[str, str], present: Config | None
) -> Config:
    """A server process's share of the configuration that the supervisor sent.

    `present`: what is in force, None at the start. Raises ConfigError.
    """
    variables = {**environment, "PROXY_LISTEN": configuration.listen}
    data = parse(configuration.text.encode(), variables.get("PROXY_CONFIG", ""))
    if configuration.reloaded:
        variables.pop("PROXY_DISCOVERY", None)
    return index.share_of(check_config(data, variables) if present is None else check_reload(data, variables, present))
