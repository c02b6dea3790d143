"""Slots that peers in the zone use, or reserve for other zones."""

from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.core._state import CoreState
from catkindrift.domain import Vm
from catkindrift.peers import UpstreamLoad


@final
@attrs.define(eq=False, repr=False)
class ReservedSlots:
    """Keeps slots reserved for other zones from use within the zone.

    Peers are the other live entry VMs of the zone. What they use and reserve
    is known from their records.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    reserved_by_others: set[str] = attrs.field(init=False, factory=set)
    _used_by_others: Counter[str] = attrs.field(init=False, factory=Counter)

    def refresh(self) -> None:
        """Recompute usage and reservations from the peers' records."""
        self.reserved_by_others = set()
        self._used_by_others = Counter()
        zone = self._state.identity.zone
        for record in self._state.members.alive_records():
            if record.vm.zone == zone:
                self._add_loads(record.loads)

    def reserved(self, upstream: str) -> int:
        """Return how many slots are lent to or reserved for other zones."""
        lent = self._state.issued_grants.lent_to_other_zones(upstream)
        return max(lent, self._state.slot_reservations.reserved_slots(upstream))

    def all_reserved(self) -> tuple[tuple[str, int], ...]:
        """Return all upstreams with reserved slots, and their number."""
        found = [
            (upstream.vm.name, self.reserved(upstream.vm.name))
            for upstream in self._state.upstreams
        ]
        return tuple(each for each in found if each[1])

    def acknowledged(self, upstream: str) -> int:
        """Return how many reserved slots all peers have acknowledged."""
        zone = self._state.identity.zone
        zone_peers = self._state.members.alive_in_zone(zone)
        return self._state.slot_reservations.acknowledged_slots(
            upstream, zone_peers
        )

    def is_shared(self, upstream: str) -> bool:
        """Return whether idle slots of peers may be used without a grant.

        Not at upstreams with reserved slots: an entry VM of another zone has
        to find the slots that it was granted, so there each VM keeps to its
        own share.
        """
        return (
            not self.reserved(upstream)
            and upstream not in self.reserved_by_others
        )

    def used_by_others(self, upstream: str) -> int:
        """Return how many slots the peers use or reserve."""
        return self._used_by_others.get(upstream, 0)

    def overuse_by_others(self, vm: Vm, owned: int) -> int:
        """Return by how many slots the peers exceed their share.

        Slots that this VM has lent within the zone count as the peers' share.

        Args:
            vm: The upstream.
            owned: Number of its slots that this VM owns.
        """
        issued_grants = self._state.issued_grants
        lent_in_zone = issued_grants.lent_slots(
            vm.name
        ) - issued_grants.lent_to_other_zones(vm.name)
        allowed = vm.slots - owned + lent_in_zone
        return max(self.used_by_others(vm.name) - allowed, 0)

    def _add_loads(self, loads: Iterable[UpstreamLoad]) -> None:
        for load in loads:
            taken = load.in_flight + load.reserved
            self._used_by_others[load.upstream] += taken
            if load.reserved:
                self.reserved_by_others.add(load.upstream)
