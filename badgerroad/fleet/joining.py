"""Attaches the quota extension to a dispatcher if the deployment's settings permit peers."""

from __future__ import annotations

from badgerroad.config import Config, ConfigError
from badgerroad.dispatcher import Dispatcher
from badgerroad.fleet import table
from badgerroad.fleet.errors import FleetNotPermittedError
from badgerroad.fleet.extension import QuotaExtension
from badgerroad.fleet.settings import FleetSettings
from badgerroad.operator.schema import Fleet

QUOTAS = "quotas"  # name under which the quota extension is attached to a dispatcher


def check(config: Config, fleet: Fleet, file: str) -> FleetSettings:
    """Check the fleet table of the operator's file and return the fleet's settings.

    Raises FleetNotPermittedError if the deployment's settings do not permit peers, and ConfigError if the table is
    invalid.
    """
    if not config.settings.peers_allowed:
        raise FleetNotPermittedError(f"{file}: fleet: not permitted by the deployment's settings (permissions.peers)")
    settings = table.settings_of(fleet, file)
    zone = zone_of(config, fleet)
    if zone not in settings.zones:
        raise ConfigError(f"{file}: fleet.zone: no controller is listed for this dispatcher's zone, {zone!r}")
    return settings


def zone_of(config: Config, fleet: Fleet) -> str:
    """Return the zone given in the fleet table, or else the zone in the dispatcher's settings."""
    place = config.settings.zone
    return fleet.zone or (config.zones[place] if 0 <= place < len(config.zones) else "")


def join(dispatcher: Dispatcher, fleet: Fleet, file: str) -> QuotaExtension:
    """Attach the quota extension to the dispatcher and start it.

    Raises FleetNotPermittedError and ConfigError, before anything is changed.
    """
    settings = check(dispatcher.config, fleet, file)
    zone = zone_of(dispatcher.config, fleet)
    extension = QuotaExtension(dispatcher.wheel, settings, dispatcher.config.name, zone)
    dispatcher.set_extension(QUOTAS, extension)
    extension.start()
    return extension
