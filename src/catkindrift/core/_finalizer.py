"""Final responses that the entry VM itself gives to callers."""

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
from catkindrift.core._shutdown_log import ShutdownLog
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
        # Other entry VMs have room at once.
        RefusalReason.STOPPING: 100,
    }
)
_MAX_JITTER_RATIO = 1.0


@final
@attrs.define(eq=False, repr=False)
class RequestFinalizer:
    """Refuses requests, and ends pending ones together with their claims.

    Args:
        state: State of the entry VM.
        shutdown_log: Records requests during a shutdown.
    """

    _state: CoreState
    _shutdown_log: ShutdownLog

    def refuse(
        self,
        request: Request,
        reason: RefusalReason,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        """Refuse a request that is not, or no longer, pending.

        Args:
            request: The request.
            reason: Why it is refused.
            outcome: Whether an upstream may have run it.
        """
        is_known = (
            self._state.active_config.service(request.service) is not None
        )
        service = request.service if is_known else ''
        key = RefusalKey(service, reason.value, outcome.value)
        self._state.refusal_counts[key] += 1
        if reason is RefusalReason.STOPPING:
            self._shutdown_log.record(
                request, 'refused', self._state.shutdown.ends_ms
            )
        refusal = Refusal(reason, outcome, self._retry_after_ms(reason))
        self._state.emit(Refuse(request.request_id, refusal))

    def refuse_pending(
        self, pending: PendingRequest, reason: RefusalReason
    ) -> None:
        """Refuse a pending request and end its claim.

        The outcome is `NOT_RUN` only if no attempt can have run the request.
        """
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
        response: RecordedAnswer | None = None,
    ) -> None:
        """Remove a pending request and record how its claim ended.

        Args:
            pending: The request.
            claim_state: Final state of its claim, if it has one.
            response: Response to store with the claim for repeats.
        """
        self._state.pending.pop(pending.request.request_id, None)
        if pending.held_claim is not None:
            self._state.emit(
                EndClaim(pending.held_claim, claim_state, response)
            )

    def _retry_after_ms(self, reason: RefusalReason) -> int:
        """Return a jittered delay, so that retries of callers spread out."""
        base_ms = _RETRY_AFTER_MS.get(reason, 0)
        return round(
            base_ms * self._state.rng.uniform(1, 1 + _MAX_JITTER_RATIO)
        )
