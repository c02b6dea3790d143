"""Queueing and dispatch of admitted requests."""

from typing import final

import attrs

from catkindrift.core._borrower import Borrower
from catkindrift.core._effects import Dispatch
from catkindrift.core._finalizer import RequestFinalizer
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._selector import Selector
from catkindrift.core._shutdown_gate import ShutdownGate
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.routing import Candidate, Distance


@final
@attrs.define(eq=False, repr=False)
class Dispatcher:
    """Queues requests and dispatches each to an upstream with a free slot.

    Args:
        state: State of the entry VM.
        slots: Slots of this VM.
        finalizer: Sends final responses.
        borrower: Requests slots from other entry VMs.
        selector: Chooses the upstream of an attempt.
        shutdown_gate: Refuses requests that a stop would cut.
    """

    _state: CoreState
    _slots: Slots
    _finalizer: RequestFinalizer
    _borrower: Borrower
    _selector: Selector
    _shutdown_gate: ShutdownGate

    def enqueue(
        self,
        pending: PendingRequest,
        reason: RefusalReason = RefusalReason.NO_UPSTREAM,
    ) -> None:
        """Dispatch a request, queue it, or refuse it early.

        Args:
            pending: The request.
            reason: Why to refuse it if no upstream is eligible.
        """
        service = pending.service
        if self._is_quarantined(pending):
            self._finalizer.refuse_pending(pending, RefusalReason.QUARANTINED)
            return
        if not self._selector.has_eligible_upstream(pending):
            self._finalizer.refuse_pending(pending, reason)
            return
        if not self._shutdown_gate.may_send(pending):
            self._refuse_for_shutdown(pending, reason)
            return
        if pending.due_ms <= self._state.clock.now_ms():
            self._finalizer.refuse_pending(
                pending, RefusalReason.DEADLINE_CANNOT_BE_MET
            )
            return
        queue = self._state.queue(service.name, service.queue_limit)
        if self._selector.would_miss_deadline(pending, len(queue)):
            self._finalizer.refuse_pending(
                pending, RefusalReason.DEADLINE_CANNOT_BE_MET
            )
            return
        if not queue and self._try_dispatch(pending):
            return
        if not queue.add(pending.request.caller, pending):
            self._finalizer.refuse_pending(pending, RefusalReason.QUEUE_FULL)
            return
        self.dispatch_waiting(service.name)

    def dispatch_waiting(self, service: str) -> None:
        """Dispatch waiting requests of a service to free slots.

        If some keep waiting, request slots from other entry VMs.
        """
        queue = self._state.queues.get(service)
        if not queue:
            return
        undispatched = [
            (caller, pending)
            for caller, pending in queue.pop_all()
            if not self._try_dispatch(pending)
        ]
        for caller, pending in undispatched:
            queue.add(caller, pending)
        if queue:
            self._borrower.request_slots(service, len(queue))

    def dispatch_all_waiting(self) -> None:
        """Dispatch waiting requests of all services to free slots."""
        for service in list(self._state.queues):
            self.dispatch_waiting(service)

    def refuse_expired(self) -> None:
        """Refuse requests that cannot be dispatched any more.

        These are waiting requests whose deadline has passed, that have been
        quarantined or have no eligible upstream, and requests whose claim
        was not decided by their deadline.
        """
        now_ms = self._state.clock.now_ms()
        for queue in self._state.queues.values():
            for pending in list(queue):
                reason = self._refusal_reason(pending, now_ms)
                if reason is not None:
                    queue.discard(pending)
                    self._finalizer.refuse_pending(pending, reason)
        self._refuse_unclaimed(now_ms)

    def refuse_all_waiting(self) -> None:
        """Refuse all requests without an attempt in flight."""
        for pending in list(self._state.pending.values()):
            if not pending.is_running:
                self.remove_from_queue(pending)
                self._refuse_for_shutdown(pending)

    def remove_from_queue(self, pending: PendingRequest) -> None:
        """Remove a request from its queue."""
        queue = self._state.queues.get(pending.request.service)
        if queue is not None:
            queue.discard(pending)

    def _refuse_for_shutdown(
        self,
        pending: PendingRequest,
        reason: RefusalReason = RefusalReason.UPSTREAM_FAILED,
    ) -> None:
        """Refuse a request that may not be sent any more.

        Args:
            pending: The request.
            reason: Why, if an earlier attempt may have run.
        """
        self._finalizer.refuse_pending(
            pending, self._shutdown_gate.reason(pending, reason)
        )

    def _refusal_reason(
        self,
        pending: PendingRequest,
        now_ms: int,
    ) -> RefusalReason | None:
        if not self._shutdown_gate.may_send(pending):
            return self._shutdown_gate.reason(
                pending, RefusalReason.UPSTREAM_FAILED
            )
        if pending.due_ms <= now_ms:
            return RefusalReason.DEADLINE_EXCEEDED
        if self._is_quarantined(pending):
            return RefusalReason.QUARANTINED
        if not self._selector.has_eligible_upstream(pending):
            return RefusalReason.NO_UPSTREAM
        return None

    def _refuse_unclaimed(self, now_ms: int) -> None:
        """Refuse requests whose claim was not decided in time."""
        for pending in list(self._state.pending.values()):
            awaits_claim = (
                pending.retry_rule.must_run_once and pending.held_claim is None
            )
            if not awaits_claim:
                continue
            is_due = pending.due_ms <= now_ms
            if is_due or not self._shutdown_gate.may_send(pending):
                self._refuse_for_shutdown(
                    pending, RefusalReason.DEADLINE_EXCEEDED
                )

    def _try_dispatch(self, pending: PendingRequest) -> bool:
        if not self._shutdown_gate.may_send(pending):
            return False
        if pending.due_ms <= self._state.clock.now_ms():
            return False
        if self._is_quarantined(pending):
            return False
        chosen = self._selector.select(pending)
        if chosen is None:
            return False
        self._dispatch(pending, chosen)
        return True

    def _is_quarantined(self, pending: PendingRequest) -> bool:
        fingerprint = pending.request.fingerprint
        return self._state.suspects.is_quarantined(fingerprint)

    def _dispatch(self, pending: PendingRequest, chosen: Candidate) -> None:
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
                pending.due_ms - now_ms,
                pending.service.max_body_bytes,
                records_response=pending.retry_rule.must_run_once,
            ),
        )

    def _check_invariants(
        self, pending: PendingRequest, chosen: Candidate
    ) -> None:
        check = self._state.invariants.check
        upstream = chosen.upstream
        check(
            Invariant.NO_WORK_FOR_LEAVING,
            holds=self._slots.accepts_work(upstream),
        )
        if pending.retry_rule.must_run_once:
            check(
                Invariant.CLAIM_BEFORE_DISPATCH,
                holds=pending.held_claim is not None,
            )
        if chosen.distance is not Distance.SAME_ZONE:
            lent = self._state.held_grants.borrowed_slots(upstream.vm.name)
            check(
                Invariant.REGION_WITHIN_ROOM,
                holds=upstream.in_flight <= lent,
            )
