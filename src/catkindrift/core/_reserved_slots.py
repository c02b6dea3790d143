"""What neighbours in the zone use, and what is kept for other zones."""

from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.core._state import CoreState
from catkindrift.domain import Vm
from catkindrift.peers import UpstreamLoad


@final
@attrs.define(eq=False)
class ReservedSlots:
    """Keeps work from other zones apart from what the zone itself shares.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    reserved_by_others: set[str] = attrs.field(init=False, factory=set)
    _used_by_others: Counter[str] = attrs.field(init=False, factory=Counter)

    def refresh(self) -> None:
        """Read the newest records of the neighbours."""
        self.reserved_by_others = set()
        self._used_by_others = Counter()
        zone = self._state.identity.zone
        for record in self._state.members.alive_records():
            if record.vm.zone == zone:
                self._add_loads(record.loads)

    def reserved(self, upstream: str) -> int:
        """Return the own slots of an upstream that other zones may get."""
        lent = self._state.lent_grants.lent_to_other_zones(upstream)
        return max(lent, self._state.offers.reserved_slots(upstream))

    def all_reserved(self) -> tuple[tuple[str, int], ...]:
        """Return the upstreams with such slots, and how many they are."""
        found = [
            (upstream.vm.name, self.reserved(upstream.vm.name))
            for upstream in self._state.upstreams
        ]
        return tuple(each for each in found if each[1])

    def acknowledged(self, upstream: str) -> int:
        """Return the kept slots that nobody else in the zone will take."""
        zone = self._state.identity.zone
        neighbours = self._state.members.alive_in_zone(zone)
        return self._state.offers.acknowledged_slots(upstream, neighbours)

    def is_shared(self, upstream: str) -> bool:
        """Return whether idle slots may be used by whoever comes first.

        Work from other zones must find the slots that were granted, so there
        everyone keeps to its own share.
        """
        return (
            not self.reserved(upstream)
            and upstream not in self.reserved_by_others
        )

    def used_by_others(self, upstream: str) -> int:
        """Return the slots that neighbours use or keep."""
        return self._used_by_others.get(upstream, 0)

    def overuse_by_others(self, vm: Vm, owned: int) -> int:
        """Return the own slots of an upstream that neighbours seem to use.

        Slots that were lent to them within the zone are not among these.

        Args:
            vm: The upstream.
            owned: Own slots.
        """
        ledger = self._state.lent_grants
        lent_in_zone = ledger.lent_slots(vm.name) - ledger.lent_to_other_zones(
            vm.name
        )
        allowed = vm.slots - owned + lent_in_zone
        return max(self.used_by_others(vm.name) - allowed, 0)

    def _add_loads(self, loads: Iterable[UpstreamLoad]) -> None:
        for load in loads:
            taken = load.in_flight + load.reserved
            self._used_by_others[load.upstream] += taken
            if load.reserved:
                self.reserved_by_others.add(load.upstream)
