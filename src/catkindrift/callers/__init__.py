"""Callers of the product's own interface: look-ups and services."""

from catkindrift.callers._caller_app import CallerApp
from catkindrift.callers._decisions import Decisions
from catkindrift.callers._forwarder import Forwarder
from catkindrift.callers._lookup_app import LookupApp
from catkindrift.callers._problem_answer import refused_input
from catkindrift.callers._upstream_headers import (
    BUSY_HEADER,
    LEAVING,
    OUTCOME_HEADER,
    STATE_HEADER,
)
from catkindrift.callers._upstream_sender import UpstreamSender

__all__ = [
    'BUSY_HEADER',
    'LEAVING',
    'OUTCOME_HEADER',
    'STATE_HEADER',
    'CallerApp',
    'Decisions',
    'Forwarder',
    'LookupApp',
    'UpstreamSender',
    'refused_input',
]
