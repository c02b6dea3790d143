"""Choice of the moment and the upstream of each attempt."""

from typing import final

import attrs

from catkindrift.core._answers import Answers
from catkindrift.core._borrower import Borrower
from catkindrift.core._effects import Dispatch
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending import Pending
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._selector import Selector
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.routing import Candidate, Distance


@final
@attrs.define(eq=False)
class Dispatcher:
    """Queues requests and dispatches each to an upstream with room.

    Args:
        state: State of the entry VM.
        slots: Slots that may be used.
        answers: Ends requests.
        borrower: Asks other entry VMs for slots.
        selector: Chooses the upstream of an attempt.
    """

    _state: CoreState
    _slots: Slots
    _answers: Answers
    _borrower: Borrower
    _selector: Selector

    def enqueue(
        self,
        pending: Pending,
        reason: RefusalReason = RefusalReason.NO_UPSTREAM,
    ) -> None:
        """Dispatch a request, queue it, or refuse it early.

        Args:
            pending: The request.
            reason: What to tell the caller when no upstream is left.
        """
        service = pending.service
        if self._is_quarantined(pending):
            self._answers.end_refused(pending, RefusalReason.QUARANTINED)
            return
        if not self._selector.has_prospect(pending):
            self._answers.end_refused(pending, reason)
            return
        if pending.deadline_ms <= self._state.clock.now_ms():
            self._answers.end_refused(pending, RefusalReason.TOO_LATE)
            return
        queue = self._state.queue(service.name, service.queue_limit)
        if self._selector.cannot_finish(pending, len(queue)):
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
            for pending in list(queue):
                reason = self._reason_to_give_up(pending, now_ms)
                if reason is not None:
                    queue.discard(pending)
                    self._answers.end_refused(pending, reason)
        self._expire_unclaimed(now_ms)

    def give_up_all(self) -> None:
        """Refuse all requests that no upstream runs."""
        for pending in list(self._state.pending.values()):
            if not pending.is_running:
                self.withdraw(pending)
                self._answers.end_refused(pending, RefusalReason.NOT_READY)

    def withdraw(self, pending: Pending) -> None:
        """Remove a request from its queue."""
        queue = self._state.queues.get(pending.request.service)
        if queue is not None:
            queue.discard(pending)

    def _reason_to_give_up(
        self,
        pending: Pending,
        now_ms: int,
    ) -> RefusalReason | None:
        if pending.deadline_ms <= now_ms:
            return RefusalReason.DEADLINE
        if self._is_quarantined(pending):
            return RefusalReason.QUARANTINED
        if not self._selector.has_prospect(pending):
            return RefusalReason.NO_UPSTREAM
        return None

    def _expire_unclaimed(self, now_ms: int) -> None:
        """Refuse requests whose claim is not decided in time."""
        for pending in list(self._state.pending.values()):
            awaits_claim = pending.rule.must_run_once and pending.held is None
            if awaits_claim and pending.deadline_ms <= now_ms:
                self._answers.end_refused(pending, RefusalReason.DEADLINE)

    def _try_dispatch(self, pending: Pending) -> bool:
        if pending.deadline_ms <= self._state.clock.now_ms():
            return False
        if self._is_quarantined(pending):
            return False
        chosen = self._selector.select(pending)
        if chosen is None:
            return False
        self._dispatch(pending, chosen)
        return True

    def _is_quarantined(self, pending: Pending) -> bool:
        fingerprint = pending.request.fingerprint
        return self._state.suspects.is_quarantined(fingerprint)

    def _dispatch(self, pending: Pending, chosen: Candidate) -> None:
        now_ms = self._state.clock.now_ms()
        upstream = chosen.upstream
        pending.upstream = upstream.vm.name
        pending.dispatched_ms = now_ms
        pending.attempts += 1
        upstream.record_dispatch()
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
            lent = self._state.book.borrowed_slots(upstream.vm.name)
            check(
                Invariant.REGION_WITHIN_ROOM,
                holds=upstream.in_flight <= lent,
            )
