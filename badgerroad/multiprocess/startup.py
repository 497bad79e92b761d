"""Receives the start parameters of a server process, and computes its share of the configuration."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from badgerroad.config import Config, ConfigError, check_config, check_reload, parse
from badgerroad.multiprocess import messages
from badgerroad.net import framing
from badgerroad.net.memory_budget import PROCESS_MB
from badgerroad.process_messages import Head

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

MIN_SOCKETS = 64  # a server process with fewer sockets needs them itself and has none left for clients
# Descriptors of the supervisor in addition to one channel for each server process: the standard streams, the
# descriptors of the event loop, the bound address, the admin listener and its connections.
SUPERVISOR_DESCRIPTORS = 32
# Number of bits by which the process number is shifted left before it is added to the configured seed. Each server
# process thus has a different seed, and the low bits hold a configured seed of up to 64 bits.
SEED_SHIFT = 64


class ProcessIndex(NamedTuple):
    """The number of a server process, and the size of its group."""

    number: int  # counted from 0
    size: int

    def share_of(self, config: Config) -> Config:
        """Return the configuration with this process's share of the fleet, the descriptors and the slow-start budgets.

        Raises ConfigError if there are too few descriptors for all server processes.
        """
        settings = config.settings
        sockets = (config.max_sockets - SUPERVISOR_DESCRIPTORS - self.size) // self.size
        if sockets < MIN_SOCKETS:
            raise ConfigError(
                f"limits.sockets: {config.max_sockets} are too few for {self.size} workers:"
                f" {sockets} each, at least {MIN_SOCKETS} are needed"
            )
        return config._replace(
            admin=None,
            max_sockets=sockets,
            memory_mb=max(config.memory_mb - PROCESS_MB, 1) / self.size,  # the supervisor is a process too
            seed=config.seed + (self.number << SEED_SHIFT),
            settings=settings._replace(
                dispatcher_count=settings.dispatcher_count * self.size,
                dispatcher_index=settings.dispatcher_index * self.size + self.number,
            ),
        )


class StartParameters(NamedTuple):
    """The parameters that a server process receives from its supervisor before it starts."""

    process_index: ProcessIndex
    sock: socket.socket  # the channel to the supervisor
    config: Config
    operator: Operator | None

    @classmethod
    def receive(cls, environment: Mapping[str, str]) -> StartParameters:
        """Wait for the supervisor's first message and return its content.

        Raises ConfigError if there is no supervisor or the configuration is invalid.
        """
        try:
            number, size, descriptor = map(int, environment[messages.ENVIRONMENT_VARIABLE].split("/"))
            sock = socket.socket(fileno=descriptor)
            head = _receive_head(sock)
        except (ValueError, OSError, framing.BadPacketError) as error:
            raise ConfigError(
                f"{messages.ENVIRONMENT_VARIABLE}: cannot receive the configuration from a supervisor: {error}"
            ) from error
        index = ProcessIndex(number, size)
        configuration = messages.Configuration.from_head(head)
        return cls(index, sock, config_from(configuration, index, environment, None), configuration.operator)


def _receive_head(sock: socket.socket) -> Head:
    """Wait for a message and return its head.

    Raises OSError or BadPacketError, and ConfigError if the supervisor closes the channel first.
    """
    reader = framing.Reader()
    message = None
    while message is None:
        data = sock.recv(framing.RECEIVE_BYTES)
        if not data:
            raise ConfigError(
                f"{messages.ENVIRONMENT_VARIABLE}: the supervisor closed the channel before it sent the configuration"
            )
        message = reader.read(data)
    return message.head


def config_from(
    configuration: messages.Configuration, index: ProcessIndex, environment: Mapping[str, str], current: Config | None
) -> Config:
    """Return a server process's share of the configuration that the supervisor sent.

    `current`: the configuration in force, None at the start. Raises ConfigError.
    """
    variables = {**environment, "PROXY_LISTEN": configuration.listen}
    data = parse(configuration.text.encode(), variables.get("PROXY_CONFIG", ""))
    if configuration.reloaded:
        variables.pop("PROXY_DISCOVERY", None)
    return index.share_of(check_config(data, variables) if current is None else check_reload(data, variables, current))
