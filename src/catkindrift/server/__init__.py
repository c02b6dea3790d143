"""Servers of an entry VM and their composition."""

from catkindrift.server._entry_vm import EntryVm
from catkindrift.server._http_server import HttpServer
from catkindrift.server._upstream_client import (
    BUSY_HEADER,
    LEAVING,
    OUTCOME_HEADER,
    STATE_HEADER,
)

__all__ = [
    'BUSY_HEADER',
    'LEAVING',
    'OUTCOME_HEADER',
    'STATE_HEADER',
    'EntryVm',
    'HttpServer',
]
