"""Communication between entry VMs: records, membership and RPC."""

from catkindrift.peers._call_errors import PEER_CALL_ERRORS
from catkindrift.peers._client import PeerAddress, PeerClient
from catkindrift.peers._members import PEER_TIMEOUT_MS, Members
from catkindrift.peers._record import (
    LeavingUpstream,
    PeerRecord,
    ServiceCapacity,
    UpstreamLoad,
)
from catkindrift.peers._service import PeerHandler, PeersService
from catkindrift.peers._wire import record_from_wire, record_to_wire

__all__ = [
    'PEER_CALL_ERRORS',
    'PEER_TIMEOUT_MS',
    'LeavingUpstream',
    'Members',
    'PeerAddress',
    'PeerClient',
    'PeerHandler',
    'PeerRecord',
    'PeersService',
    'ServiceCapacity',
    'UpstreamLoad',
    'record_from_wire',
    'record_to_wire',
]
