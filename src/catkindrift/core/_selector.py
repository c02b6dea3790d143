"""Selection of an upstream for a pending request."""

from typing import final

import attrs

from catkindrift.blame import without_caller
from catkindrift.core._borrower import Borrower
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._shift_gate import ShiftGate
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.domain import Shift
from catkindrift.routing import Candidate, Chooser

# With this many free slots or fewer in the target region of a shift, more
# are requested there, so that they arrive before the last one is used.
_LOW_SLOTS_THRESHOLD = 1


@final
@attrs.define(eq=False, repr=False)
class Selector:
    """Selects an upstream with a free slot for a request.

    Args:
        state: State of the entry VM.
        slots: Slots of this VM.
        borrower: Requests slots from other entry VMs.
        shift_gate: Selects the requests that a shift moves.
    """

    _state: CoreState
    _slots: Slots
    _borrower: Borrower
    _shift_gate: ShiftGate

    def select(self, pending: PendingRequest) -> Candidate | None:
        """Return the upstream for the next attempt; None if none is free."""
        candidates = list(self._slots.candidates(pending.request.service))
        if self._state.suspects.is_suspect(pending.request.fingerprint):
            candidates = self._isolated_candidates(pending, candidates)
        shifted = self._select_shifted(pending, candidates)
        return shifted or self._choose(pending, candidates)

    def has_eligible_upstream(self, pending: PendingRequest) -> bool:
        """Return whether any upstream, free or busy, may run a request.

        An upstream of another zone is eligible while an entry VM of that zone
        is alive, because that VM could lend slots. A suspect may run only at
        upstreams where this VM is primary.
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
        """Return whether the deadline would pass before the queue empties.

        Args:
            pending: The request.
            waiting: Number of requests queued before it.
        """
        service = pending.request.service
        slots, _ = self._slots.capacity(service)
        upstreams = self._state.upstreams.of_service(service)
        if not slots or not upstreams:
            return False
        fastest_ms = min(state.latency_ms for state in upstreams)
        expected_ms = fastest_ms * waiting / slots
        remaining_ms = pending.due_ms - self._state.clock.now_ms()
        return expected_ms > remaining_ms

    def _select_shifted(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
    ) -> Candidate | None:
        """Return an upstream in a shift's target region, within its cap."""
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
        """Return the upstreams that may run a suspect.

        This VM must be primary there and no other suspect may be in flight.
        There are none while the same request is in flight, of any caller: if
        repeats ran together, each could crash an upstream.
        """
        running = [
            other
            for other in self._state.pending.values()
            if other.is_running
            and self._state.suspects.is_suspect(other.request.fingerprint)
        ]
        own = without_caller(pending.request.fingerprint)
        if any(
            without_caller(other.request.fingerprint) == own
            for other in running
        ):
            return []
        occupied = {other.upstream for other in running}
        return [
            candidate
            for candidate in candidates
            if candidate.upstream.vm.name not in occupied
            and self._slots.is_primary(candidate.upstream)
        ]
