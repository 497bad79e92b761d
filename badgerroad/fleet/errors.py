"""Errors of the fleet's processes."""

from __future__ import annotations

from badgerroad.config import ConfigError
from badgerroad.errors import BadgerroadError


class FleetNotPermittedError(ConfigError):
    """The deployment's settings do not permit the `[fleet]` table."""

    code = "fleet"
    remedy = "remove [fleet] from the operator's file, or have permissions.peers enabled in the deployment's settings"


class FrameError(BadgerroadError):
    """A peer sent bytes that violate the framing. Its connection is closed."""

    code = "frame"
    remedy = "check which program connects to this address, and the versions on both sides"


class PeerRejectedError(BadgerroadError):
    """The first message on a connection was rejected. The connection is closed."""

    code = "peer"
    remedy = "compare the fleet's members in the operator's files of both sides"
