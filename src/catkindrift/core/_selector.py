"""Choice of an upstream for a waiting request."""

from typing import final

import attrs

from catkindrift.core._borrower import Borrower
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._shift_gate import ShiftGate
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.domain import Shift
from catkindrift.routing import Candidate, Chooser

# Slots are asked for in the target region before the last ones are taken.
_LOW_SLOTS_THRESHOLD = 1


@final
@attrs.define(eq=False)
class Selector:
    """Finds an upstream with room for a request.

    Args:
        state: State of the entry VM.
        slots: Slots that may be used.
        borrower: Asks other entry VMs for slots.
        gate: Decides which requests a shift moves.
    """

    _state: CoreState
    _slots: Slots
    _borrower: Borrower
    _shift_gate: ShiftGate

    def select(self, pending: PendingRequest) -> Candidate | None:
        """Return where to send a request now, if there is room."""
        candidates = list(self._slots.candidates(pending.request.service))
        if self._state.suspects.is_suspect(pending.request.fingerprint):
            candidates = self._isolated_candidates(pending, candidates)
        shifted = self._select_shifted(pending, candidates)
        return shifted or self._choose(pending, candidates)

    def has_eligible_upstream(self, pending: PendingRequest) -> bool:
        """Return whether any upstream may still take a request.

        Upstreams of other zones count while an entry VM of their zone, which
        could lend their slots, is alive. A suspect may only run where this VM
        is the one that runs suspects.
        """
        request = pending.request
        is_suspect = self._state.suspects.is_suspect(request.fingerprint)
        now_ms = self._state.clock.now_ms()
        return any(
            self._slots.has_or_can_borrow_slots(upstream)
            and not upstream.is_ejected(now_ms)
            and upstream.vm.name not in pending.tried_upstreams
            and (not is_suspect or self._slots.is_primary(upstream))
            for upstream in self._state.upstreams.of_service(request.service)
        )

    def would_miss_deadline(
        self, pending: PendingRequest, waiting: int
    ) -> bool:
        """Return whether the deadline passes before the queue is through."""
        service = pending.request.service
        slots, _ = self._slots.capacity(service)
        upstreams = self._state.upstreams.of_service(service)
        if not slots or not upstreams:
            return False
        fastest_ms = min(state.latency_ms for state in upstreams)
        expected_ms = fastest_ms * waiting / slots
        remaining_ms = pending.deadline_ms - self._state.clock.now_ms()
        return expected_ms > remaining_ms

    def _select_shifted(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
    ) -> Candidate | None:
        """Return an upstream of a shift's target, within the cap."""
        shift = self._shift_gate.select_shift(pending.request.service)
        if shift is None:
            return None
        in_target = self._in_target_region(shift, candidates)
        if (
            sum(candidate.free_slots for candidate in in_target)
            <= _LOW_SLOTS_THRESHOLD
        ):
            self._borrower.request_slots_in_region(
                shift.service, shift.target_region
            )
        chosen = self._choose(pending, in_target)
        if chosen is None or not self._shift_gate.try_admit(shift):
            return None
        return chosen

    def _in_target_region(
        self,
        shift: Shift,
        candidates: list[Candidate],
    ) -> list[Candidate]:
        region_of = self._state.active_config.configuration.region_of
        return [
            candidate
            for candidate in candidates
            if region_of(candidate.upstream.vm.zone) == shift.target_region
        ]

    def _choose(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
    ) -> Candidate | None:
        chooser = Chooser(pending.service.measure)
        return chooser.choose(
            candidates,
            self._state.clock.now_ms(),
            pending.tried_upstreams,
            may_exceed_share=self._state.retry_budget.has_credit,
        )

    def _isolated_candidates(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
    ) -> list[Candidate]:
        """Return the upstreams where a suspect would be the only one.

        There are none while the same request runs already.
        """
        running = [
            other
            for other in self._state.pending.values()
            if other.is_running
            and self._state.suspects.is_suspect(other.request.fingerprint)
        ]
        own = pending.request.fingerprint
        if any(other.request.fingerprint == own for other in running):
            return []
        taken = {other.upstream for other in running}
        return [
            candidate
            for candidate in candidates
            if candidate.upstream.vm.name not in taken
            and self._slots.is_primary(candidate.upstream)
        ]
