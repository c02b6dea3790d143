"""All settings of an entry VM."""

from typing import final

import attrs

from catkindrift.settings._limits import LimitSettings
from catkindrift.settings._operator import OperatorSettings
from catkindrift.settings._peers import PeerSettings
from catkindrift.settings._platform import PlatformSettings
from catkindrift.settings._tls import TlsSettings
from catkindrift.settings._vm import ListenSettings, VmSettings


@final
@attrs.frozen
class EntrySettings:
    """Settings of one entry VM, a table of the file each.

    Args:
        vm: Identity of the VM.
        listen: Addresses to listen on.
        platform: The platform's object API.
        peers: Other entry VMs.
        limits: Bounds of the VM.
        tls: Certificates and keys.
        operators: Who may use the operator API.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    tls: TlsSettings = TlsSettings()
    operators: tuple[OperatorSettings, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Refuse open access from other VMs."""
        _, operators, peers = self.listen.endpoints
        if not operators.is_loopback and not self.operators:
            raise ValueError(
                'tokens: listen.operators is not loopback; add an [[operators]]'
                ' table or listen on 127.0.0.1',
            )
        if not peers.is_loopback and not self.peers.secret_file:
            raise ValueError(
                'a peer secret: listen.peers is not loopback; set'
                ' peers.secret_file or listen on 127.0.0.1',
            )
