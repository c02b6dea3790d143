"""Settings of the product's own interface, and of local deployments."""

from catkindrift.entry_settings._deployment import (
    Deployment,
    DeploymentSettings,
    UpstreamCount,
)
from catkindrift.entry_settings._entry import EntrySettings
from catkindrift.entry_settings._limits import LimitSettings
from catkindrift.entry_settings._listen import ListenSettings
from catkindrift.entry_settings._operator import OperatorRole, OperatorSettings
from catkindrift.entry_settings._peers import PeerSettings
from catkindrift.entry_settings._platform import PlatformSettings
from catkindrift.entry_settings._tls import TlsSettings

__all__ = [
    'Deployment',
    'DeploymentSettings',
    'EntrySettings',
    'LimitSettings',
    'ListenSettings',
    'OperatorRole',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'TlsSettings',
    'UpstreamCount',
]
