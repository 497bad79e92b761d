"""Errors of the fleet's processes."""

from __future__ import annotations

from badgerroad.config import ConfigError
from badgerroad.errors import BadgerroadError


class FleetNotPermittedError(ConfigError):
    """The deployment's settings do not permit what `[fleet]` asks for."""

    code = "fleet"
    remedy = "take [fleet] out of the operator's file, or have permissions.peers set by who owns the settings"


class FrameError(BadgerroadError):
    """A peer's bytes do not follow the framing; its connection is closed."""

    code = "frame"
    remedy = "look at who connects to this address, and at the versions on both sides"


class PeerRejectedError(BadgerroadError):
    """A connection's first message is not acceptable; the connection is closed."""

    code = "peer"
    remedy = "compare the fleet's members in the operator's files of both sides"
