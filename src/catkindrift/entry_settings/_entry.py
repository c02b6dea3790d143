"""Settings of an entry VM."""

from typing import final

import attrs

from catkindrift.entry_settings._limits import LimitSettings
from catkindrift.entry_settings._listen import ListenSettings
from catkindrift.entry_settings._operator import OperatorSettings
from catkindrift.entry_settings._peers import PeerSettings
from catkindrift.entry_settings._platform import PlatformSettings
from catkindrift.entry_settings._tls import TlsSettings
from catkindrift.settings import VmSettings


@final
@attrs.frozen
class EntrySettings:
    """Contents of an entry VM's settings file, one field for each table.

    Args:
        vm: Identity of the VM.
        listen: Addresses to listen on.
        platform: Access to the platform's object API.
        peers: Communication with other entry VMs.
        limits: Resource limits of the VM.
        tls: Certificate and key files.
        operators: Operators that may use the operator API.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    tls: TlsSettings = TlsSettings()
    operators: tuple[OperatorSettings, ...] = ()

    def __attrs_post_init__(self) -> None:
        """Reject listening beyond loopback without authentication.

        Raises:
            ValueError: Operator tokens or the peer secret are missing.
        """
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
