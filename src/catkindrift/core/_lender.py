"""Answers to other entry VMs that ask for slots."""

import math
from typing import final

import attrs

from catkindrift.core._effects import LendGrants, PublishRecord
from catkindrift.core._events import GrantAsked
from catkindrift.core._invariants import Invariant
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.limits import Grant
from catkindrift.routing import UpstreamState

_NEAR_LIFE_MS = 1000
_FAR_LIFE_MS = 2000
# Grants of an earlier process of this VM have ended this long after a start.
_QUIET_START_MS = 2100
# Part of its own slots that a VM keeps for the traffic of its zone.
_KEPT_SHARE = 0.25


@final
@attrs.define(eq=False)
class Lender:
    """Lends own free slots; the sum lent stays within what is owned.

    Args:
        state: State of the entry VM.
        slots: Slots that this VM owns.
    """

    _state: CoreState
    _slots: Slots

    def answer(self, asked: GrantAsked) -> None:
        """Lend what can be spared, which may be nothing."""
        is_near = asked.holder_zone == self._state.identity.zone
        left = min(asked.slots, self._spare(asked.service, is_near=is_near))
        if not is_near:
            self._keep(asked.service, left)
        grants: list[Grant] = []
        life_ms = _NEAR_LIFE_MS if is_near else _FAR_LIFE_MS
        for upstream in self._emptiest_first(asked.service):
            lent = min(self._lendable(upstream, is_near=is_near), left)
            if lent < 1:
                continue
            left -= lent
            name = upstream.vm.name
            grants.append(
                self._state.ledger.lend(
                    asked.holder,
                    name,
                    lent,
                    life_ms,
                    is_cross_zone=not is_near,
                ),
            )
            self._state.invariants.check(
                Invariant.LENT_WITHIN_SHARE,
                holds=self._state.ledger.lent_slots(name)
                <= self._slots.owned(upstream),
            )
        self._state.emit(LendGrants(asked.ask_id, tuple(grants)))

    def _keep(self, service: str, wanted: int) -> None:
        """Keep slots for the questions to come, and tell the neighbours.

        What neighbours have not heard yet is lent when they have.
        """
        for upstream in self._emptiest_first(service):
            free = min(self._free(upstream, is_near=False), wanted)
            if free < 1:
                continue
            wanted -= free
            name = upstream.vm.name
            slots = self._state.ledger.lent_to_other_zones(name) + free
            if self._state.offers.reserve(name, slots):
                self._state.emit(PublishRecord())

    def _lendable(self, upstream: UpstreamState, *, is_near: bool) -> int:
        free = self._free(upstream, is_near=is_near)
        if is_near:
            return free
        name = upstream.vm.name
        lent = self._state.ledger.lent_to_other_zones(name)
        heard = self._slots.kept.confirmed(name) - lent
        return max(min(free, heard), 0)

    def _spare(self, service: str, *, is_near: bool) -> int:
        if self._state.is_stopping and not is_near:
            return 0
        if self._state.queues.get(service):
            return 0
        running_ms = self._state.clock.now_ms() - self._state.started_ms
        if running_ms < _QUIET_START_MS:
            return 0
        slots, taken = self._slots.room(service)
        kept = 0 if is_near else math.ceil(slots * _KEPT_SHARE)
        return max(slots - taken - kept, 0)

    def _emptiest_first(self, service: str) -> list[UpstreamState]:
        return sorted(
            self._state.upstreams.of_service(service),
            key=lambda upstream: (
                -self._free(upstream, is_near=True),
                upstream.vm.name,
            ),
        )

    def _free(self, upstream: UpstreamState, *, is_near: bool) -> int:
        now_ms = self._state.clock.now_ms()
        if upstream.is_ejected(now_ms):
            return 0
        if not self._slots.accepts_work(upstream):
            return 0
        own = self._slots.owned(upstream)
        if not is_near:
            own = min(own, self._slots.owned_by_list(upstream))
        own = upstream.usable_slots(own)
        name = upstream.vm.name
        lent = self._state.ledger.lent_slots(name)
        free = own - lent - upstream.in_flight
        if not is_near:
            free -= self._slots.kept.overused(
                upstream.vm,
                self._slots.owned(upstream),
            )
        return max(free, 0)
