"""Results of trying to claim a request."""

from typing import final

import attrs

from catkindrift.claims._claim import Claim, ClaimState, HeldClaim
from catkindrift.retries import RecordedAnswer


@final
@attrs.frozen
class ClaimAcquired:
    """The request may be dispatched, by this entry VM only.

    Args:
        held: The claim, on which the outcome of the request is recorded.
    """

    held: HeldClaim


@final
@attrs.frozen
class InProgress:
    """The idempotency key is claimed and its request has not ended."""


@final
@attrs.frozen
class AlreadyCompleted:
    """The request has already run to completion.

    Args:
        answer: Its response, or None when it was too large to store.
    """

    answer: RecordedAnswer | None


@final
@attrs.frozen
class OutcomeUnknown:
    """The request may have been dispatched; whether it ran is unknown."""


@final
@attrs.frozen
class KeyReused:
    """The caller used the idempotency key for a different request before."""


@final
@attrs.frozen
class ClaimUnavailable:
    """The claim could not be written, so the request must not run."""


ClaimResult = (
    ClaimAcquired
    | InProgress
    | AlreadyCompleted
    | OutcomeUnknown
    | KeyReused
    | ClaimUnavailable
)


def classify_existing(
    existing: Claim, body_digest: str, wall_ms: int
) -> ClaimResult:
    """Return the result for a request whose key is claimed already.

    The caller must have ruled out a released or expired claim, which may be
    taken over instead.

    Args:
        existing: The claim that the platform stores.
        body_digest: Digest of method, path and body of the new request.
        wall_ms: Current time, Unix milliseconds.
    """
    if existing.body_digest != body_digest:
        return KeyReused()
    match existing.state:
        case ClaimState.DONE:
            return AlreadyCompleted(existing.answer)
        case ClaimState.UNKNOWN:
            return OutcomeUnknown()
    if wall_ms > existing.deadline_wall_ms:
        return OutcomeUnknown()
    return InProgress()
