"""Selection of entry VMs for callers and of upstreams for attempts."""

from catkindrift.routing._block_table import BlockTable
from catkindrift.routing._candidate import Candidate, Distance
from catkindrift.routing._chooser import Chooser
from catkindrift.routing._directory import EntryDirectory
from catkindrift.routing._lookup import LookupResult, LookupTable
from catkindrift.routing._upstream_state import UpstreamState
from catkindrift.routing._upstream_table import UpstreamTable

__all__ = [
    'BlockTable',
    'Candidate',
    'Chooser',
    'Distance',
    'EntryDirectory',
    'LookupResult',
    'LookupTable',
    'UpstreamState',
    'UpstreamTable',
]
