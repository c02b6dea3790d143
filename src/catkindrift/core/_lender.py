"""Grants of this VM's free slots to other entry VMs."""

import math
from typing import final

import attrs

from catkindrift.core._effects import LendGrants, PublishRecord
from catkindrift.core._events import GrantsRequested
from catkindrift.core._invariants import Invariant
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.limits import Grant
from catkindrift.routing import UpstreamState

_SAME_ZONE_GRANT_TTL_MS = 1000
_OTHER_ZONE_GRANT_TTL_MS = 2000
# A new process does not know the grants of its predecessor, so it lends
# nothing until the last of them must have expired.
_STARTUP_NO_LENDING_MS = 2100
# Share of the own slots that is never lent to other zones.
_ZONE_RESERVE_SHARE = 0.25


@final
@attrs.define(eq=False, repr=False)
class Lender:
    """Lends free slots, in sum never more than this VM owns.

    Args:
        state: State of the entry VM.
        slots: Slots of this VM.
    """

    _state: CoreState
    _slots: Slots

    def lend(self, event: GrantsRequested) -> None:
        """Reply to a request for slots with grants of spare ones, if any."""
        is_same_zone = event.holder_zone == self._state.identity.zone
        remaining = min(
            event.slots,
            self._spare_slots(event.service, is_same_zone=is_same_zone),
        )
        if not is_same_zone:
            self._reserve(event.service, remaining)
        grants: list[Grant] = []
        ttl_ms = (
            _SAME_ZONE_GRANT_TTL_MS
            if is_same_zone
            else _OTHER_ZONE_GRANT_TTL_MS
        )
        for upstream in self._by_free_slots(event.service):
            lent = min(
                self._lendable(upstream, is_same_zone=is_same_zone), remaining
            )
            if lent < 1:
                continue
            remaining -= lent
            name = upstream.vm.name
            grants.append(
                self._state.issued_grants.lend(
                    event.holder,
                    name,
                    lent,
                    ttl_ms,
                    is_cross_zone=not is_same_zone,
                ),
            )
            self._state.invariants.check(
                Invariant.LENT_WITHIN_SHARE,
                holds=self._state.issued_grants.lent_slots(name)
                <= self._slots.owned(upstream),
            )
        self._state.emit(LendGrants(event.correlation_id, tuple(grants)))

    def _reserve(self, service: str, wanted: int) -> None:
        """Reserve slots for other zones, and publish the reservation.

        Entry VMs of the zone may use idle slots beyond their share. Reserved
        slots are lent only after all of them have seen the reservation, in
        reply to a later request.
        """
        for upstream in self._by_free_slots(service):
            free = min(self._free_slots(upstream, is_same_zone=False), wanted)
            if free < 1:
                continue
            wanted -= free
            name = upstream.vm.name
            slots = self._state.issued_grants.lent_to_other_zones(name) + free
            if self._state.slot_reservations.reserve(name, slots):
                self._state.emit(PublishRecord())

    def _lendable(self, upstream: UpstreamState, *, is_same_zone: bool) -> int:
        free = self._free_slots(upstream, is_same_zone=is_same_zone)
        if is_same_zone:
            return free
        name = upstream.vm.name
        lent = self._state.issued_grants.lent_to_other_zones(name)
        acknowledged = self._slots.reservations.acknowledged(name) - lent
        return max(min(free, acknowledged), 0)

    def _spare_slots(self, service: str, *, is_same_zone: bool) -> int:
        if self._state.is_stopping and not is_same_zone:
            return 0
        if self._state.queues.get(service):
            return 0
        running_ms = self._state.clock.now_ms() - self._state.started_ms
        if running_ms < _STARTUP_NO_LENDING_MS:
            return 0
        slots, taken = self._slots.capacity(service)
        zone_reserve = (
            0 if is_same_zone else math.ceil(slots * _ZONE_RESERVE_SHARE)
        )
        return max(slots - taken - zone_reserve, 0)

    def _by_free_slots(self, service: str) -> list[UpstreamState]:
        return sorted(
            self._state.upstreams.of_service(service),
            key=lambda upstream: (
                -self._free_slots(upstream, is_same_zone=True),
                upstream.vm.name,
            ),
        )

    def _free_slots(
        self, upstream: UpstreamState, *, is_same_zone: bool
    ) -> int:
        now_ms = self._state.clock.now_ms()
        if upstream.is_ejected(now_ms):
            return 0
        if not self._slots.accepts_work(upstream):
            return 0
        own = self._slots.owned(upstream)
        if not is_same_zone:
            own = min(own, self._slots.owned_among_listed(upstream))
        own = upstream.usable_slots(own)
        name = upstream.vm.name
        lent = self._state.issued_grants.lent_slots(name)
        free = own - lent - upstream.in_flight
        if not is_same_zone:
            free -= self._slots.reservations.overuse_by_others(
                upstream.vm,
                self._slots.owned(upstream),
            )
        return max(free, 0)
