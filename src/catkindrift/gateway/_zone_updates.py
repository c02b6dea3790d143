"""What heartbeats tell of others where membership goes by zone."""

import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.gateway._zone_receivers import sample
from catkindrift.steering import (
    MemberFacts,
    Members,
    pack_signs,
)

# Signs of life of one zone in one digest, 9 bytes each, so that it fits in a
# packet of 1,500 bytes. A zone of the target size has 63 VMs.
_MAX_DIGEST_SIGNS = 120
# Signs of life of the own zone and of others in a heartbeat within the zone.
_MAX_ZONE_SIGNS = 40
_MAX_FAR_SIGNS = 16
# Facts of processes that started lately; each takes about 160 bytes.
_MAX_RECENT_FACTS = 4


@final
@attrs.define(eq=False, repr=False)
class ZoneUpdates:
    """Selects signs of life and facts for heartbeats.

    Args:
        members: Entry VMs.
        own: Facts about this VM.
        rng: Returns the source of random numbers.
    """

    _members: Members
    _own: MemberFacts
    _rng: Callable[[], random.Random]

    def digest(self, zone: str) -> bytes:
        """Return signs of life of one zone."""
        alive = [each for each in self._members.alive() if each.zone == zone]
        chosen = sample(self._rng(), alive, _MAX_DIGEST_SIGNS)
        return pack_signs(self._members.table.signs(chosen))

    def signs_for_zone(self) -> bytes:
        """Return signs of life for VMs of the own zone.

        Digests tell them of other zones; the signs of these here are for VMs
        that have missed one.
        """
        alive = self._members.alive()
        own = self._own.zone
        zone_vms = [each for each in alive if each.zone == own]
        others = [each for each in alive if each.zone != own]
        table = self._members.table
        chosen = table.next_signs(zone_vms, _MAX_ZONE_SIGNS)
        return pack_signs(chosen + table.next_signs(others, _MAX_FAR_SIGNS))

    def recent(self, *, is_digest: bool) -> list[MemberFacts]:
        """Return facts about VMs that have started lately.

        Args:
            is_digest: Whether to leave out those of other zones.
        """
        known = [
            each
            for each in self._members.alive()
            if self._members.table.is_recent(each.name)
            and not (is_digest and each.zone != self._own.zone)
        ]
        return sample(self._rng(), known, _MAX_RECENT_FACTS)
