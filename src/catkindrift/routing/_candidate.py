"""An upstream that could take a request."""

import enum
from typing import final

import attrs

from catkindrift.routing._upstream_state import UpstreamState


@final
class Distance(enum.IntEnum):
    """How far an upstream is from this entry VM."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@final
@attrs.frozen
class Candidate:
    """An upstream with the slots that this entry VM may use there.

    Args:
        upstream: The upstream.
        slots: Owned and borrowed slots.
        distance: How far it is.
        expects_drain: A proposed plan would drain it.
        beyond_share: Slots of the same zone that others own and seem not to
            use; the upstream itself refuses when that is wrong.
    """

    upstream: UpstreamState
    slots: int
    distance: Distance
    is_drain_planned: bool = False
    idle_peer_slots: int = 0

    @property
    def free_slots(self) -> int:
        """Return the slots that a new attempt could take."""
        usable = self.upstream.usable_slots(self.slots)
        return usable - self.upstream.in_flight

    @property
    def free_slots_beyond_share(self) -> int:
        """Return the slots that might be free though others own them."""
        slots = self.slots + self.idle_peer_slots
        usable = self.upstream.usable_slots(slots)
        return usable - self.upstream.in_flight
