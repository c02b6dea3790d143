"""An upstream that a request may be sent to."""

import enum
from typing import final

import attrs

from catkindrift.routing._upstream_state import UpstreamState


@final
class Distance(enum.IntEnum):
    """Locality of an upstream relative to this entry VM."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@final
@attrs.frozen
class Candidate:
    """An upstream with the slots that this entry VM may use there.

    Args:
        upstream: The upstream.
        slots: Number of owned and borrowed slots.
        distance: Locality of the upstream.
        is_drain_planned: Whether a proposed plan would drain it.
        idle_peer_slots: Slots that other entry VMs of the zone own and do
            not seem to use. Their load reports may be out of date, in which
            case the upstream itself refuses the attempt.
    """

    upstream: UpstreamState
    slots: int
    distance: Distance
    is_drain_planned: bool = False
    idle_peer_slots: int = 0

    @property
    def free_slots(self) -> int:
        """Return the owned and borrowed slots that are free."""
        usable = self.upstream.usable_slots(self.slots)
        return usable - self.upstream.in_flight

    @property
    def free_slots_beyond_share(self) -> int:
        """Return the free slots, including idle slots of zone peers."""
        slots = self.slots + self.idle_peer_slots
        usable = self.upstream.usable_slots(slots)
        return usable - self.upstream.in_flight
