"""Gossip of records, configuration and VM list between entry VMs."""

from catkindrift.exchange._peer_exchange import PeerExchange
from catkindrift.exchange._peer_request_handler import PeerRequestHandler

__all__ = ['PeerExchange', 'PeerRequestHandler']
