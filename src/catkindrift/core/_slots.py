"""Slots of upstreams that this entry VM owns, borrows or lends."""

from collections.abc import Iterator
from typing import final

import attrs

from catkindrift.core._reserved_slots import ReservedSlots
from catkindrift.core._state import CoreState
from catkindrift.limits import HolderLoad, slot_share
from catkindrift.rendezvous import rendezvous_order
from catkindrift.routing import (
    Candidate,
    Distance,
    UpstreamState,
)


@final
@attrs.define(eq=False, repr=False)
class Slots:
    """Computes which slots this VM may use, own or lend.

    The slots of an upstream are divided among the live entry VMs of its zone.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    _zone_vms: frozenset[str] = attrs.field(init=False, default=frozenset())
    reservations: ReservedSlots = attrs.field(init=False)
    _shares: dict[tuple[str, int], int] = attrs.field(
        init=False,
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Create the view of reservations, without peers yet."""
        self.reservations = ReservedSlots(self._state)

    def refresh(self) -> None:
        """Recompute shares and reservations from the live entry VMs."""
        identity = self._state.identity
        alive = self._state.members.alive_in_zone(identity.zone)
        zone_vms = frozenset((identity.name, *alive))
        if zone_vms != self._zone_vms:
            self._zone_vms = zone_vms
            self._shares = {}
        self._state.issued_grants.reclaim_expired(self._holder_load)
        self.reservations.refresh()

    def owned(self, upstream: UpstreamState) -> int:
        """Return this VM's share of an upstream's slots; 0 in other zones."""
        vm = upstream.vm
        if vm.zone != self._state.identity.zone:
            return 0
        key = (vm.name, vm.slots)
        share = self._shares.get(key)
        if share is None:
            share = slot_share(
                vm.name,
                vm.slots,
                self._state.identity.name,
                self._zone_vms or (self._state.identity.name,),
            )
            self._shares[key] = share
        return share

    def owned_among_listed(self, upstream: UpstreamState) -> int:
        """Return the share if all listed entry VMs count, alive or not.

        Entry VMs that cannot reach each other each take over the other's
        share. Loans to other zones are limited to this share, so that such
        VMs together never lend more slots than the upstream has.
        """
        identity = self._state.identity
        if upstream.vm.zone != identity.zone:
            return 0
        listed = [
            vm.name
            for vm in self._state.members.entry_vms()
            if vm.zone == identity.zone
        ]
        vm = upstream.vm
        listed.append(identity.name)
        return slot_share(vm.name, vm.slots, identity.name, listed)

    def usable(self, upstream: UpstreamState) -> int:
        """Return owned slots that are not lent, plus borrowed ones.

        At upstreams with reserved slots, owned slots that peers of the zone
        use beyond their share are excluded too.
        """
        name = upstream.vm.name
        own = self.owned(upstream) - self._state.issued_grants.lent_slots(name)
        if self.reservations.reserved(name):
            own -= self.reservations.overuse_by_others(
                upstream.vm, self.owned(upstream)
            )
        return max(own, 0) + self._state.held_grants.borrowed_slots(name)

    def accepts_work(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream is neither drained nor leaving."""
        if self._state.active_config.is_drained(upstream.vm):
            return False
        return not upstream.is_leaving(self._state.clock.now_ms())

    def has_or_can_borrow_slots(self, upstream: UpstreamState) -> bool:
        """Return whether this VM has or may borrow slots of an upstream.

        Slots of another zone can be borrowed while any entry VM of that zone
        is alive. Drained and leaving upstreams are excluded.
        """
        if not self.accepts_work(upstream):
            return False
        zone = upstream.vm.zone
        if zone == self._state.identity.zone or self.usable(upstream):
            return True
        return bool(self._state.members.alive_in_zone(zone))

    def candidates(self, service: str) -> Iterator[Candidate]:
        """Yield the upstreams of a service with slots for this VM."""
        active_config = self._state.active_config
        for upstream in self._usable_upstreams(service):
            slots = self.usable(upstream)
            idle_slots = self._idle_beyond_share(upstream, slots)
            if slots + idle_slots > 0 and self.accepts_work(upstream):
                yield Candidate(
                    upstream,
                    slots,
                    self._distance(upstream),
                    active_config.is_drain_proposed(upstream.vm),
                    idle_slots,
                )

    def is_primary(self, upstream: UpstreamState) -> bool:
        """Return whether this VM may run suspect requests at an upstream.

        One entry VM per upstream may, the first in rendezvous order, so that
        suspects of different entry VMs never share an upstream.
        """
        if upstream.vm.zone != self._state.identity.zone:
            return False
        order = rendezvous_order(upstream.vm.name, self._zone_vms)
        return bool(order) and order[0] == self._state.identity.name

    def capacity(self, service: str) -> tuple[int, int]:
        """Return the number of owned slots of a service, and of those taken.

        Lent slots count as taken. Upstreams that are ejected, drained or
        leaving are excluded.
        """
        now_ms = self._state.clock.now_ms()
        slots = 0
        taken = 0
        zone = self._state.identity.zone
        for upstream in self._state.upstreams.in_zone(service, zone):
            own = self.owned(upstream)
            if own < 1 or not self.accepts_work(upstream):
                continue
            if upstream.is_ejected(now_ms):
                continue
            usable = upstream.usable_slots(own)
            lent = self._state.issued_grants.lent_slots(upstream.vm.name)
            slots += usable
            taken += min(usable, upstream.in_flight + lent)
        return slots, taken

    def _usable_upstreams(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of the own zone, and others with grants."""
        upstreams = self._state.upstreams
        zone = self._state.identity.zone
        granted = filter(
            None,
            map(upstreams.get, self._state.held_grants.slots_by_upstream()),
        )
        in_other_zones = [
            upstream
            for upstream in granted
            if upstream.vm.service == service and upstream.vm.zone != zone
        ]
        return [*upstreams.in_zone(service, zone), *in_other_zones]

    def _idle_beyond_share(self, upstream: UpstreamState, slots: int) -> int:
        """Return how many slots owned by peers in the zone seem unused."""
        vm = upstream.vm
        if vm.zone != self._state.identity.zone:
            return 0
        if not self.reservations.is_shared(vm.name):
            return 0
        others = self.reservations.used_by_others(vm.name)
        return max(vm.slots - slots - others, 0)

    def _holder_load(self, holder: str, upstream: str) -> HolderLoad | None:
        members = self._state.members
        record = members.record(holder)
        age_ms = members.ms_since_update(holder)
        if record is None or age_ms is None:
            return None
        if not members.is_alive(holder):
            return None
        reported_ms = self._state.clock.now_ms() - age_ms
        return HolderLoad(reported_ms, record.in_flight_attempts(upstream))

    def _distance(self, upstream: UpstreamState) -> Distance:
        identity = self._state.identity
        if upstream.vm.zone == identity.zone:
            return Distance.SAME_ZONE
        region = self._state.active_config.configuration.region_of(
            upstream.vm.zone
        )
        if region == identity.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
