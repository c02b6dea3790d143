"""Entry VMs among themselves: records, membership, exchange."""

from catkindrift.peers._client import PeerAddress, PeerClient
from catkindrift.peers._failures import PEER_FAILURES
from catkindrift.peers._members import SILENCE_MS, Members
from catkindrift.peers._record import (
    LeavingFact,
    PeerRecord,
    ServiceRoom,
    UpstreamLoad,
)
from catkindrift.peers._service import PeerHandler, PeersService
from catkindrift.peers._wire import record_from_wire, record_to_wire

__all__ = [
    'PEER_FAILURES',
    'SILENCE_MS',
    'LeavingFact',
    'Members',
    'PeerAddress',
    'PeerClient',
    'PeerHandler',
    'PeerRecord',
    'PeersService',
    'ServiceRoom',
    'UpstreamLoad',
    'record_from_wire',
    'record_to_wire',
]
