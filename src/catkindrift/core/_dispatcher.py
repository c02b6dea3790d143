"""Choice of the moment and the upstream of each attempt."""

from typing import final

import attrs

from catkindrift.core._answers import Answers
from catkindrift.core._borrower import Borrower
from catkindrift.core._effects import Dispatch
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending import Pending
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._shift_gate import ShiftGate
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.domain import Shift
from catkindrift.routing import Candidate, Chooser, Distance

# Slots are asked for in the target region before the last ones are taken.
_SPARE_SLOTS = 1


@final
@attrs.define(eq=False)
class Dispatcher:
    """Queues requests and dispatches each to an upstream with room.

    Args:
        state: State of the entry VM.
        slots: Slots that may be used.
        answers: Ends requests.
        borrower: Asks other entry VMs for slots.
        gate: Decides which requests a shift moves.
    """

    _state: CoreState
    _slots: Slots
    _answers: Answers
    _borrower: Borrower
    _gate: ShiftGate

    def enqueue(self, pending: Pending) -> None:
        """Dispatch a request, queue it, or refuse it early."""
        service = pending.service
        if pending.deadline_ms <= self._state.clock.now_ms():
            self._answers.end_refused(pending, RefusalReason.TOO_LATE)
            return
        queue = self._state.queue(service.name, service.queue_limit)
        if self._cannot_finish(pending, len(queue)):
            self._answers.end_refused(pending, RefusalReason.TOO_LATE)
            return
        if not queue and self._try_dispatch(pending):
            return
        if not queue.add(pending.request.caller, pending):
            self._answers.end_refused(pending, RefusalReason.QUEUE_FULL)
            return
        self.pump(service.name)

    def pump(self, service: str) -> None:
        """Dispatch waiting requests of a service while there is room."""
        queue = self._state.queues.get(service)
        if not queue:
            return
        passed_over = [
            (caller, pending)
            for caller, pending in queue.pop_all()
            if not self._try_dispatch(pending)
        ]
        for caller, pending in passed_over:
            queue.add(caller, pending)
        if queue:
            self._borrower.ask(service, len(queue))

    def pump_all(self) -> None:
        """Dispatch waiting requests of all services while there is room."""
        for service in list(self._state.queues):
            self.pump(service)

    def expire(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        now_ms = self._state.clock.now_ms()
        for queue in self._state.queues.values():
            expired = [each for each in queue if each.deadline_ms <= now_ms]
            for pending in expired:
                queue.discard(pending)
                self._answers.end_refused(pending, RefusalReason.DEADLINE)
        self._expire_unclaimed(now_ms)

    def withdraw(self, pending: Pending) -> None:
        """Remove a request from its queue."""
        queue = self._state.queues.get(pending.request.service)
        if queue is not None:
            queue.discard(pending)

    def _expire_unclaimed(self, now_ms: int) -> None:
        """Refuse requests whose claim is not decided in time."""
        for pending in list(self._state.pending.values()):
            awaits_claim = pending.rule.must_run_once and pending.held is None
            if awaits_claim and pending.deadline_ms <= now_ms:
                self._answers.end_refused(pending, RefusalReason.DEADLINE)

    def _try_dispatch(self, pending: Pending) -> bool:
        candidates = list(self._slots.candidates(pending.request.service))
        if self._state.suspects.is_suspect(pending.request.fingerprint):
            candidates = self._isolated(candidates)
        if self._try_shifted(pending, candidates):
            return True
        chosen = self._choose(pending, candidates)
        if chosen is None:
            return False
        self._dispatch(pending, chosen)
        return True

    def _try_shifted(
        self,
        pending: Pending,
        candidates: list[Candidate],
    ) -> bool:
        shift = self._gate.wanted_shift(pending.request.service)
        if shift is None:
            return False
        in_target = self._in_target(shift, candidates)
        if sum(candidate.free for candidate in in_target) <= _SPARE_SLOTS:
            self._borrower.ask_region(shift.service, shift.target_region)
        chosen = self._choose(pending, in_target)
        if chosen is None or not self._gate.try_move(shift):
            return False
        self._dispatch(pending, chosen)
        return True

    def _in_target(
        self,
        shift: Shift,
        candidates: list[Candidate],
    ) -> list[Candidate]:
        region_of = self._state.in_force.configuration.region_of
        return [
            candidate
            for candidate in candidates
            if region_of(candidate.upstream.vm.zone) == shift.target_region
        ]

    def _choose(
        self,
        pending: Pending,
        candidates: list[Candidate],
    ) -> Candidate | None:
        chooser = Chooser(pending.service.measure)
        now_ms = self._state.clock.now_ms()
        return chooser.choose(candidates, now_ms, pending.tried)

    def _isolated(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the upstreams where a suspect would be the only one."""
        taken = {
            pending.upstream
            for pending in self._state.pending.values()
            if pending.is_running
            and self._state.suspects.is_suspect(pending.request.fingerprint)
        }
        return [
            candidate
            for candidate in candidates
            if candidate.upstream.vm.name not in taken
            and self._slots.is_primary(candidate.upstream)
        ]

    def _dispatch(self, pending: Pending, chosen: Candidate) -> None:
        now_ms = self._state.clock.now_ms()
        upstream = chosen.upstream
        pending.upstream = upstream.vm.name
        pending.dispatched_ms = now_ms
        pending.attempts += 1
        upstream.dispatched()
        self._check_invariants(pending, chosen)
        self._state.emit(
            Dispatch(
                pending.request.request_id,
                upstream.vm,
                pending.deadline_ms - now_ms,
                pending.service.max_body_bytes,
                keeps_answer=pending.rule.must_run_once,
            ),
        )

    def _check_invariants(self, pending: Pending, chosen: Candidate) -> None:
        check = self._state.invariants.check
        upstream = chosen.upstream
        check(
            Invariant.NO_WORK_FOR_LEAVING,
            holds=self._slots.accepts_work(upstream),
        )
        if pending.rule.must_run_once:
            check(
                Invariant.CLAIM_BEFORE_DISPATCH,
                holds=pending.held is not None,
            )
        if chosen.distance is not Distance.SAME_ZONE:
            lent = self._state.book.slots(upstream.vm.name)
            check(
                Invariant.REGION_WITHIN_ROOM,
                holds=upstream.in_flight <= lent,
            )

    def _cannot_finish(self, pending: Pending, waiting: int) -> bool:
        """Return whether the deadline passes before the queue is through."""
        service = pending.request.service
        slots, _ = self._slots.room(service)
        upstreams = self._state.upstreams.of_service(service)
        if not slots or not upstreams:
            return False
        quickest_ms = min(state.latency_ms for state in upstreams)
        expected_ms = quickest_ms * waiting / slots
        left_ms = pending.deadline_ms - self._state.clock.now_ms()
        return expected_ms > left_ms
