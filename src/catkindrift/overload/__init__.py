"""How requests wait, are turned away and are placed if there is no room.

The package has no input or output. It is used only if the setting
``overload.queueing`` is on.
"""

from catkindrift.overload._rank import Rank, rank_of
from catkindrift.overload._service_queue import Decision, Place, ServiceQueue
from catkindrift.overload._waiting_request import WaitingRequest

__all__ = [
    'Decision',
    'Place',
    'Rank',
    'ServiceQueue',
    'WaitingRequest',
    'rank_of',
]
