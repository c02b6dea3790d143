"""State received from other entry VMs, and this VM's own record."""

from typing import final

import attrs

from catkindrift.core._active_config import ActiveConfiguration
from catkindrift.core._attempt_results import LEAVING_SIGNAL_TTL_MS
from catkindrift.core._effects import LogChange, PublishRecord
from catkindrift.core._events import ConfigurationReceived, RecordReceived
from catkindrift.core._invariants import Invariant
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.domain import Vm, VmRole, VmState
from catkindrift.peers import (
    LeavingUpstream,
    PeerRecord,
    ServiceCapacity,
    UpstreamLoad,
)

_RECORD_CACHE_MS = 400


@final
@attrs.frozen
class _UrgentState:
    """State whose changes are published without delay."""

    revision: int
    is_stopping: bool
    leaving: tuple[str, ...]
    confirmed_crashes: int
    reserved: tuple[tuple[str, int], ...]
    reserved_by_others: frozenset[str]


@final
@attrs.define(eq=False, repr=False)
class Membership:
    """Applies configurations, VM lists and records; builds the own record.

    Args:
        state: State of the entry VM.
        slots: Slots of this VM.
    """

    _state: CoreState
    _slots: Slots
    _sequence: int = attrs.field(init=False, default=0)
    _record: PeerRecord | None = attrs.field(init=False, default=None)
    _built_ms: int = attrs.field(init=False, default=0)
    _published_urgent_state: _UrgentState | None = attrs.field(
        init=False, default=None
    )

    def apply_configuration(self, event: ConfigurationReceived) -> None:
        """Activate a configuration if its revision is the highest so far.

        The active revision, if received again, only updates the time of its
        confirmation.
        """
        configuration = event.configuration
        active_config = self._state.active_config
        if configuration.revision == active_config.revision:
            self._update_confirmed_ms(event.confirmed_ms)
            return
        if configuration.revision < active_config.revision:
            return
        if configuration.revision < self._state.members.revision_floor:
            return
        self._state.invariants.check(
            Invariant.REVISION_RISES,
            holds=configuration.revision
            > max(
                active_config.revision, self._state.members.revision_floor - 1
            ),
        )
        self._state.active_config = ActiveConfiguration.prepare(configuration)
        self._state.confirmed_ms = event.confirmed_ms
        self._state.is_ready = True
        self._state.emit(
            LogChange(
                f'activated configuration revision {configuration.revision}'
            ),
        )
        self._state.emit(PublishRecord())

    def apply_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Replace the VM list; publish when an upstream starts leaving."""
        has_newly_leaving = any(self._starts_leaving(vm) for vm in vms)
        self._state.upstreams.apply_vm_list(vms)
        self._state.members.apply_vm_list(vms)
        self._slots.refresh()
        if has_newly_leaving:
            self._state.emit(PublishRecord())

    def merge_record(self, event: RecordReceived) -> None:
        """Merge a record of another entry VM if it is newer than the last."""
        record = event.record
        if event.is_direct_reply:
            self._state.slot_reservations.record_acknowledgement(
                record.vm.name, event.requested_ms
            )
        known = self._state.members.record(record.vm.name)
        if not self._state.members.merge(record):
            return
        if known and known.incarnation != record.incarnation:
            self._state.held_grants.forget_granter(record.vm.name)
        self._state.suspects.merge(record.crashes, record.cleared)
        for signal in record.leaving:
            self._apply_leaving_signal(signal)
        is_same_revision = record.revision == self._state.active_config.revision
        if (
            event.is_direct_reply
            and is_same_revision
            and record.confirmed_age_ms >= 0
        ):
            self._update_confirmed_ms(
                event.requested_ms - record.confirmed_age_ms
            )
        self._slots.refresh()

    def own_record(self) -> PeerRecord:
        """Return this VM's record for its peers.

        The record is cached for `_RECORD_CACHE_MS`, so that the same state is
        not sent again under a new sequence number. It is rebuilt at once when
        the urgent state changes.
        """
        now_ms = self._state.clock.now_ms()
        is_old = now_ms - self._built_ms >= _RECORD_CACHE_MS
        urgent_state = self._urgent_state()
        if (
            self._record is None
            or is_old
            or urgent_state != self._published_urgent_state
        ):
            self._record = self._build_record()
            self._built_ms = now_ms
            self._published_urgent_state = urgent_state
        # Peers rely on this age, so it is recomputed for a cached record.
        return attrs.evolve(
            self._record,
            confirmed_age_ms=self._confirmed_age_ms(),
        )

    def _build_record(self) -> PeerRecord:
        self._sequence += 1
        state = self._state
        now_ms = state.clock.now_ms()
        return PeerRecord(
            vm=state.identity.vm,
            region=state.identity.region,
            incarnation=state.identity.incarnation,
            sequence=self._sequence,
            revision=state.active_config.revision,
            is_stopping=state.is_stopping,
            pending=len(state.pending),
            capacities=self._service_capacities(),
            loads=self._upstream_loads(),
            leaving=self._leaving_upstreams(now_ms),
            crashes=state.suspects.crashes(),
            cleared=state.suspects.cleared(),
        )

    def _confirmed_age_ms(self) -> int:
        confirmed_ms = self._state.confirmed_ms
        if confirmed_ms is None:
            return -1
        return self._state.clock.now_ms() - confirmed_ms

    def _urgent_state(self) -> _UrgentState:
        """Return the state whose changes rebuild the record at once."""
        state = self._state
        now_ms = state.clock.now_ms()
        return _UrgentState(
            state.active_config.revision,
            state.is_stopping,
            tuple(
                upstream.vm.name
                for upstream in state.upstreams
                if upstream.is_leaving(now_ms)
            ),
            state.suspects.confirmed_count,
            self._slots.reservations.all_reserved(),
            # A peer that reserves slots needs to know soon how many of them
            # this VM uses.
            frozenset(self._slots.reservations.reserved_by_others),
        )

    def _update_confirmed_ms(self, confirmed_ms: int | None) -> None:
        if confirmed_ms is None:
            return
        current_ms = self._state.confirmed_ms
        if current_ms is None or confirmed_ms > current_ms:
            self._state.confirmed_ms = confirmed_ms

    def _starts_leaving(self, vm: Vm) -> bool:
        if vm.state is not VmState.LEAVING or vm.role is not VmRole.UPSTREAM:
            return False
        known = self._state.upstreams.get(vm.name)
        return known is not None and known.vm.state is VmState.LIVE

    def _apply_leaving_signal(self, signal: LeavingUpstream) -> None:
        upstream = self._state.upstreams.get(signal.upstream)
        if upstream is None:
            return
        until_ms = (
            self._state.clock.now_ms() - signal.age_ms + LEAVING_SIGNAL_TTL_MS
        )
        upstream.leaving_until_ms = max(upstream.leaving_until_ms, until_ms)

    def _service_capacities(self) -> tuple[ServiceCapacity, ...]:
        capacities: list[ServiceCapacity] = []
        for service in self._state.active_config.configuration.services:
            slots, taken = self._slots.capacity(service.name)
            waiting = len(self._state.queues.get(service.name, ()))
            capacities.append(
                ServiceCapacity(service.name, slots, taken, waiting)
            )
        return tuple(capacities)

    def _upstream_loads(self) -> tuple[UpstreamLoad, ...]:
        loads = [
            UpstreamLoad(
                upstream.vm.name,
                upstream.in_flight,
                self._slots.reservations.reserved(upstream.vm.name),
            )
            for upstream in self._state.upstreams
        ]
        return tuple(load for load in loads if load.in_flight or load.reserved)

    def _leaving_upstreams(self, now_ms: int) -> tuple[LeavingUpstream, ...]:
        """Return the leaving upstreams known to this VM or its peers.

        A signal keeps its age when it is forwarded, so it expires everywhere at
        the same time unless a VM receives the signal again.
        """
        leaving: list[LeavingUpstream] = []
        for upstream in self._state.upstreams:
            remaining_ms = upstream.leaving_until_ms - now_ms
            if upstream.vm.state is VmState.LEAVING:
                remaining_ms = LEAVING_SIGNAL_TTL_MS
            if remaining_ms > 0:
                age_ms = LEAVING_SIGNAL_TTL_MS - remaining_ms
                leaving.append(LeavingUpstream(upstream.vm.name, age_ms))
        return tuple(leaving)
