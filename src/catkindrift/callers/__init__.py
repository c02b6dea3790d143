"""The data path of the product's own interface."""

from catkindrift.callers._caller_app import CallerApp
from catkindrift.callers._forwarder import Forwarder
from catkindrift.callers._lookup_app import LookupApp
from catkindrift.callers._upstream_client import (
    BUSY_HEADER,
    LEAVING,
    OUTCOME_HEADER,
    STATE_HEADER,
    UpstreamClient,
)

__all__ = [
    'BUSY_HEADER',
    'LEAVING',
    'OUTCOME_HEADER',
    'STATE_HEADER',
    'CallerApp',
    'Forwarder',
    'LookupApp',
    'UpstreamClient',
]
