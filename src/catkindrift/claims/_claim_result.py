"""What a claim attempt found."""

from typing import final

import attrs

from catkindrift.claims._claim import Claim, ClaimState, HeldClaim
from catkindrift.retries import RecordedAnswer


@final
@attrs.frozen
class ClaimAcquired:
    """The request may be dispatched, by this entry VM only.

    Args:
        held: The claim, to be ended when the request has ended.
    """

    held: HeldClaim


@final
@attrs.frozen
class InProgress:
    """The key is claimed and its request has not ended."""


@final
@attrs.frozen
class AlreadyCompleted:
    """The request ran.

    Args:
        answer: Its answer, when it was small enough to be kept.
    """

    answer: RecordedAnswer | None


@final
@attrs.frozen
class OutcomeUnknown:
    """The request was dispatched and nobody knows whether it ran."""


@final
@attrs.frozen
class KeyReused:
    """The key belongs to another request of the same caller."""


@final
@attrs.frozen
class ClaimUnavailable:
    """The platform could not be asked; the request must not run."""


ClaimResult = (
    ClaimAcquired
    | InProgress
    | AlreadyCompleted
    | OutcomeUnknown
    | KeyReused
    | ClaimUnavailable
)


def classify_existing(
    found: Claim, body_digest: str, wall_ms: int
) -> ClaimResult:
    """Return the verdict on a request whose key has the claim `found`.

    A released claim is not judged here: it may be taken over.

    Args:
        found: The claim in the platform.
        body_digest: Digest of the request that asks.
        wall_ms: Current time, Unix milliseconds.
    """
    if found.body_digest != body_digest:
        return KeyReused()
    match found.state:
        case ClaimState.DONE:
            return AlreadyCompleted(found.answer)
        case ClaimState.UNKNOWN:
            return OutcomeUnknown()
    if wall_ms > found.deadline_wall_ms:
        return OutcomeUnknown()
    return InProgress()
