"""Final answers that the system itself gives to callers."""

from types import MappingProxyType
from typing import final

import attrs

from catkindrift.claims import ClaimState
from catkindrift.core._count_keys import RefusalKey
from catkindrift.core._effects import EndClaim, Refuse
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._refusal import Refusal, RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._state import CoreState
from catkindrift.retries import Outcome, RecordedAnswer

_RETRY_AFTER_MS = MappingProxyType(
    {
        RefusalReason.IN_PROGRESS: 1000,
        RefusalReason.CLAIM_UNAVAILABLE: 5000,
        RefusalReason.QUEUE_FULL: 1000,
        RefusalReason.DEADLINE_CANNOT_BE_MET: 1000,
        RefusalReason.DEADLINE_EXCEEDED: 1000,
        RefusalReason.NO_ROOM: 2000,
        RefusalReason.NO_UPSTREAM: 5000,
        RefusalReason.UPSTREAM_FAILED: 1000,
        RefusalReason.NOT_READY: 2000,
    }
)
_MAX_JITTER = 1.0


@final
@attrs.define(eq=False)
class RequestFinalizer:
    """Ends requests, and records how claimed ones ended.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState

    def refuse(
        self,
        request: Request,
        reason: RefusalReason,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        """Refuse a request that is not pending."""
        is_known = (
            self._state.active_config.service(request.service) is not None
        )
        service = request.service if is_known else ''
        key = RefusalKey(service, reason.value, outcome.value)
        self._state.refusal_counts[key] += 1
        refusal = Refusal(reason, outcome, self._retry_after_ms(reason))
        self._state.emit(Refuse(request.request_id, refusal))

    def refuse_pending(
        self, pending: PendingRequest, reason: RefusalReason
    ) -> None:
        """End a pending request without an answer of an upstream."""
        cannot_have_run = pending.cannot_have_run
        outcome = Outcome.NOT_RUN if cannot_have_run else Outcome.UNKNOWN
        self._state.invariants.check(
            Invariant.NOT_RUN_IS_TRUE,
            holds=outcome is Outcome.UNKNOWN
            or (cannot_have_run and not pending.is_running),
        )
        self.finish(
            pending,
            ClaimState.RELEASED if cannot_have_run else ClaimState.UNKNOWN,
        )
        self.refuse(pending.request, reason, outcome)

    def finish(
        self,
        pending: PendingRequest,
        claim_state: ClaimState,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Forget a request and record how its claim ended."""
        self._state.pending.pop(pending.request.request_id, None)
        if pending.held_claim is not None:
            self._state.emit(EndClaim(pending.held_claim, claim_state, answer))

    def _retry_after_ms(self, reason: RefusalReason) -> int:
        """Return a jittered delay, so that callers do not return together."""
        base_ms = _RETRY_AFTER_MS.get(reason, 0)
        return round(base_ms * self._state.rng.uniform(1, 1 + _MAX_JITTER))
