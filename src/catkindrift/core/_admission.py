"""Decision whether a request is taken on."""

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
from catkindrift.core._answers import Answers
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import EndClaim, Replay, TakeClaim
from catkindrift.core._pending import Pending
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._state import CoreState
from catkindrift.domain import Service
from catkindrift.retries import Outcome, RecordedAnswer, RetryRule


@final
@attrs.define(eq=False)
class Admission:
    """Takes requests on, or refuses them before anything runs.

    Args:
        state: State of the entry VM.
        answers: Ends requests.
        dispatcher: Takes over admitted requests.
    """

    _state: CoreState
    _answers: Answers
    _dispatcher: Dispatcher

    def arrive(self, request: Request) -> None:
        """Admit or refuse a request that has just arrived."""
        service = self._state.in_force.service(request.service)
        if service is None:
            reason = RefusalReason.UNKNOWN_SERVICE
            if not self._state.in_force.revision:
                reason = RefusalReason.NOT_READY
            self._answers.refuse(request, reason)
            return
        pending = self._pending(request, service)
        reason_against = self._reason_against(pending)
        if reason_against is not None:
            self._answers.refuse(request, reason_against)
            return
        self._state.pending[request.request_id] = pending
        self._state.retry_budget.count_request()
        if pending.rule.must_run_once:
            self._take_claim(pending)
        else:
            self._dispatcher.enqueue(pending)

    def claim_judged(self, request_id: int, verdict: ClaimResult) -> None:
        """Go on with a request whose claim was decided."""
        pending = self._state.pending.get(request_id)
        if pending is None:
            self._release(verdict)
            return
        if isinstance(verdict, ClaimAcquired):
            pending.held = verdict.held
            self._dispatcher.enqueue(pending)
            return
        self._state.pending.pop(request_id)
        self._answer_repeated(pending.request, verdict)

    def _pending(self, request: Request, service: Service) -> Pending:
        now_ms = self._state.clock.now_ms()
        latest_ms = now_ms + service.deadline_ms
        deadline_ms = min(request.deadline_ms or latest_ms, latest_ms)
        rule = RetryRule(request.method, service.repeat)
        return Pending(request, service, deadline_ms, rule)

    def _reason_against(self, pending: Pending) -> RefusalReason | None:
        request = pending.request
        if self._state.suspects.is_quarantined(request.fingerprint):
            return RefusalReason.QUARANTINED
        if pending.rule.must_run_once and not request.idempotency_key:
            return RefusalReason.KEY_MISSING
        if _is_too_large(pending):
            return RefusalReason.BODY_TOO_LARGE
        if pending.deadline_ms <= self._state.clock.now_ms():
            return RefusalReason.TOO_LATE
        if self._is_full(request.service):
            return RefusalReason.QUEUE_FULL
        return None

    def _is_full(self, service: str) -> bool:
        """Return whether the VM, or the service's part of it, is taken."""
        bounds = self._state.bounds
        if len(self._state.pending) >= bounds.requests:
            return True
        of_service = sum(
            pending.request.service == service
            for pending in self._state.pending.values()
        )
        return of_service >= bounds.requests_per_service

    def _take_claim(self, pending: Pending) -> None:
        request = pending.request
        name = xxhash.xxh3_128_hexdigest(
            '\0'.join(
                (request.service, request.caller, request.idempotency_key),
            ).encode(),
        )
        left_ms = pending.deadline_ms - self._state.clock.now_ms()
        self._state.emit(
            TakeClaim(
                request.request_id,
                name,
                request.service,
                request.content_digest,
                left_ms,
            ),
        )

    def _release(self, verdict: ClaimResult) -> None:
        """Release a claim whose request has been given up meanwhile."""
        if isinstance(verdict, ClaimAcquired):
            self._state.emit(EndClaim(verdict.held, ClaimState.RELEASED))

    def _answer_repeated(self, request: Request, verdict: ClaimResult) -> None:
        match verdict:
            case AlreadyCompleted(answer=RecordedAnswer() as answer):
                self._state.emit(Replay(request.request_id, answer))
            case AlreadyCompleted():
                self._answers.refuse(
                    request,
                    RefusalReason.ALREADY_RUN,
                    Outcome.UNKNOWN,
                )
            case OutcomeUnknown():
                self._answers.refuse(
                    request,
                    RefusalReason.UPSTREAM_FAILED,
                    Outcome.UNKNOWN,
                )
            case InProgress():
                self._answers.refuse(
                    request,
                    RefusalReason.IN_PROGRESS,
                    Outcome.UNKNOWN,
                )
            case KeyReused():
                self._answers.refuse(request, RefusalReason.KEY_REUSED)
            case ClaimUnavailable():
                self._answers.refuse(
                    request,
                    RefusalReason.CLAIM_UNAVAILABLE,
                )


def _is_too_large(pending: Pending) -> bool:
    """Return whether the body is over the limit of the service.

    Requests that run once are compared by their body, so it has to fit into
    memory too.
    """
    request = pending.request
    if pending.rule.must_run_once and not request.is_held:
        return True
    return (request.body_bytes or 0) > pending.service.max_body_bytes
