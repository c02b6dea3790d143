"""Validated settings that are read from TOML files."""

from catkindrift.settings._deployment import (
    Deployment,
    DeploymentSettings,
    UpstreamCount,
)
from catkindrift.settings._endpoint import Endpoint
from catkindrift.settings._entry import EntrySettings
from catkindrift.settings._gateway import (
    GatewayBoundSettings,
    GatewayListenSettings,
    GatewayPlatformSettings,
    GatewaySettings,
)
from catkindrift.settings._limits import LimitSettings
from catkindrift.settings._loader import load_settings, read_document
from catkindrift.settings._operator import OperatorRole, OperatorSettings
from catkindrift.settings._peers import PeerSettings
from catkindrift.settings._platform import PlatformSettings
from catkindrift.settings._tls import TlsSettings
from catkindrift.settings._vm import ListenSettings, VmSettings

__all__ = [
    'Deployment',
    'DeploymentSettings',
    'Endpoint',
    'EntrySettings',
    'GatewayBoundSettings',
    'GatewayListenSettings',
    'GatewayPlatformSettings',
    'GatewaySettings',
    'LimitSettings',
    'ListenSettings',
    'OperatorRole',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'TlsSettings',
    'UpstreamCount',
    'VmSettings',
    'load_settings',
    'read_document',
]
