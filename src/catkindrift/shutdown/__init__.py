"""Graceful shutdown: which requests a stopping process still takes on."""

from catkindrift.shutdown._decision import Accepted, Decision, Refused
from catkindrift.shutdown._recent_durations import RecentDurations
from catkindrift.shutdown._shutdown import Shutdown

__all__ = [
    'Accepted',
    'Decision',
    'RecentDurations',
    'Refused',
    'Shutdown',
]
