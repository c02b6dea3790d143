"""Serves callers over the system's own HTTP interface.

Callers look up entry VMs with `/lookup` and send requests to services with
`/services/NAME/...`.
"""

from catkindrift.callers._caller_app import CallerApp
from catkindrift.callers._forwarder import Forwarder
from catkindrift.callers._ignored_options import IgnoredOptions
from catkindrift.callers._lookup_app import LookupApp
from catkindrift.callers._pending_decisions import PendingDecisions
from catkindrift.callers._rejected_requests import RejectedRequests
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.callers._upstream_headers import (
    BUSY_SLOTS_HEADER,
    HEADER_RULES,
    LEAVING_STATE,
    OUTCOME_HEADER,
    STATE_HEADER,
)
from catkindrift.callers._upstream_sender import UpstreamSender

__all__ = [
    'BUSY_SLOTS_HEADER',
    'HEADER_RULES',
    'LEAVING_STATE',
    'OUTCOME_HEADER',
    'STATE_HEADER',
    'CallerApp',
    'Forwarder',
    'IgnoredOptions',
    'LookupApp',
    'PendingDecisions',
    'RejectedRequests',
    'TimeLimits',
    'UpstreamSender',
]
