"""Exchange of records between entry VMs."""

from catkindrift.exchange._peer_request_handler import PeerRequestHandler
from catkindrift.exchange._peer_exchange import PeerExchange

__all__ = ['PeerExchange', 'PeerRequestHandler']
