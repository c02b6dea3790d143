"""Settings of an entry VM on the users' platform."""

from catkindrift.settings._endpoint import Endpoint, check_endpoint
from catkindrift.settings._gateway import (
    GatewayBoundSettings,
    GatewayListenSettings,
    GatewayOverloadSettings,
    GatewayPlacementSettings,
    GatewayPlatformSettings,
    GatewaySettings,
)
from catkindrift.settings._gateway_loader import (
    load_gateway_settings,
    parse_gateway_settings,
)
from catkindrift.settings._vm import VmSettings

__all__ = [
    'Endpoint',
    'GatewayBoundSettings',
    'GatewayListenSettings',
    'GatewayOverloadSettings',
    'GatewayPlacementSettings',
    'GatewayPlatformSettings',
    'GatewaySettings',
    'VmSettings',
    'check_endpoint',
    'load_gateway_settings',
    'parse_gateway_settings',
]
