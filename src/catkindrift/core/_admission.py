"""Admission control for requests that arrive at this entry VM."""

from typing import final

import attrs
import xxhash

from catkindrift.claims import (
    AlreadyCompleted,
    ClaimAcquired,
    ClaimResult,
    ClaimState,
    ClaimUnavailable,
    InProgress,
    KeyReused,
    OutcomeUnknown,
)
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import EndClaim, Replay, TakeClaim
from catkindrift.core._finalizer import RequestFinalizer
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._shutdown_gate import ShutdownGate
from catkindrift.core._shutdown_log import ShutdownLog
from catkindrift.core._state import CoreState
from catkindrift.domain import Service
from catkindrift.retries import Outcome, RecordedAnswer, RetryRule


@final
@attrs.define(eq=False, repr=False)
class Admission:
    """Admits requests or refuses them before any attempt is made.

    Args:
        state: State of the entry VM.
        finalizer: Sends final responses.
        dispatcher: Queues and dispatches admitted requests.
        shutdown_gate: Refuses requests that a stop would cut.
        shutdown_log: Records requests during a shutdown.
    """

    _state: CoreState
    _finalizer: RequestFinalizer
    _dispatcher: Dispatcher
    _shutdown_gate: ShutdownGate
    _shutdown_log: ShutdownLog

    def may_read_body(self, request: Request) -> bool:
        """Return whether to wait for the rest of the body of a request."""
        service = self._state.active_config.service(request.service)
        if service is None or not self._state.is_stopping:
            return True
        return self._shutdown_gate.may_send(
            self._create_pending(request, service)
        )

    def handle_missed_body(self, request: Request) -> None:
        """Refuse a request whose body a stop does not wait for."""
        self._finalizer.refuse(request, RefusalReason.STOPPING)

    def handle_arrival(self, request: Request) -> None:
        """Admit a new request, or refuse it with a reason.

        A request of a service that must run once is claimed first and is
        queued when the claim is granted; all others are queued at once.
        """
        service = self._state.active_config.service(request.service)
        if service is None:
            reason = RefusalReason.UNKNOWN_SERVICE
            if not self._state.active_config.revision:
                reason = RefusalReason.NOT_READY
            self._finalizer.refuse(request, reason)
            return
        pending = self._create_pending(request, service)
        refusal_reason = self._refusal_reason(pending)
        if refusal_reason is not None:
            self._finalizer.refuse(request, refusal_reason)
            return
        self._state.pending[request.request_id] = pending
        self._state.retry_budget.count_request()
        self._shutdown_log.record(request, 'taken', pending.due_ms)
        if pending.retry_rule.must_run_once:
            self._take_claim(pending)
        else:
            self._dispatcher.enqueue(pending)

    def handle_claim_result(
        self, request_id: int, claim_result: ClaimResult
    ) -> None:
        """Queue or respond to a request whose claim has been decided."""
        pending = self._state.pending.get(request_id)
        if pending is None:
            self._release_claim(claim_result)
            return
        if isinstance(claim_result, ClaimAcquired):
            pending.held_claim = claim_result.held
            self._dispatcher.enqueue(pending)
            return
        self._state.pending.pop(request_id)
        self._answer_duplicate(pending.request, claim_result)

    def _create_pending(
        self, request: Request, service: Service
    ) -> PendingRequest:
        now_ms = self._state.clock.now_ms()
        latest_ms = now_ms + service.deadline_ms
        deadline_ms = min(request.deadline_ms or latest_ms, latest_ms)
        rule = RetryRule(request.method, service.repeat)
        return PendingRequest(request, service, deadline_ms, rule, now_ms)

    def _refusal_reason(self, pending: PendingRequest) -> RefusalReason | None:
        request = pending.request
        if self._state.suspects.is_quarantined(request.fingerprint):
            return RefusalReason.QUARANTINED
        if pending.retry_rule.must_run_once and not request.idempotency_key:
            return RefusalReason.KEY_MISSING
        if _is_too_large(pending):
            return RefusalReason.BODY_TOO_LARGE
        if pending.deadline_ms <= self._state.clock.now_ms():
            return RefusalReason.DEADLINE_CANNOT_BE_MET
        if not self._shutdown_gate.may_send(pending):
            return RefusalReason.STOPPING
        if self._is_full(request.service):
            return RefusalReason.QUEUE_FULL
        return None

    def _is_full(self, service: str) -> bool:
        """Return whether the VM or the service is at its request limit."""
        bounds = self._state.bounds
        if len(self._state.pending) >= bounds.max_requests:
            return True
        of_service = sum(
            pending.request.service == service
            for pending in self._state.pending.values()
        )
        return of_service >= bounds.max_requests_per_service

    def _take_claim(self, pending: PendingRequest) -> None:
        request = pending.request
        claim_name = xxhash.xxh3_128_hexdigest(
            '\0'.join(
                (request.service, request.caller, request.idempotency_key),
            ).encode(),
        )
        time_limit_ms = pending.due_ms - self._state.clock.now_ms()
        self._state.emit(
            TakeClaim(
                request.request_id,
                claim_name,
                request.service,
                request.content_digest,
                time_limit_ms,
            ),
        )

    def _release_claim(self, claim_result: ClaimResult) -> None:
        """Release a granted claim whose request has already ended."""
        if isinstance(claim_result, ClaimAcquired):
            self._state.emit(EndClaim(claim_result.held, ClaimState.RELEASED))

    def _answer_duplicate(
        self, request: Request, claim_result: ClaimResult
    ) -> None:
        match claim_result:
            case AlreadyCompleted(answer=RecordedAnswer() as response):
                self._state.emit(Replay(request.request_id, response))
            case AlreadyCompleted():
                self._finalizer.refuse(
                    request,
                    RefusalReason.ALREADY_RUN,
                    Outcome.UNKNOWN,
                )
            case OutcomeUnknown():
                self._finalizer.refuse(
                    request,
                    RefusalReason.UPSTREAM_FAILED,
                    Outcome.UNKNOWN,
                )
            case InProgress():
                self._finalizer.refuse(
                    request,
                    RefusalReason.IN_PROGRESS,
                    Outcome.UNKNOWN,
                )
            case KeyReused():
                self._finalizer.refuse(request, RefusalReason.KEY_REUSED)
            case ClaimUnavailable():
                self._finalizer.refuse(
                    request,
                    RefusalReason.CLAIM_UNAVAILABLE,
                )


def _is_too_large(pending: PendingRequest) -> bool:
    """Return whether the body exceeds a size limit.

    A request that must run once is compared with its repeats by the digest
    of its body, so its body must also be buffered in memory.
    """
    request = pending.request
    if pending.retry_rule.must_run_once and not request.is_body_buffered:
        return True
    return (request.body_bytes or 0) > pending.service.max_body_bytes
