"""The claim that an entry VM stores before it dispatches a request."""

import enum
from typing import final

import attrs

from catkindrift.retries import RecordedAnswer
from catkindrift.store import StoredObject

CLAIM_RETENTION_MS = 86_400_000  # One day.


@final
class ClaimState(enum.StrEnum):
    """Progress of the claimed request.

    `UNKNOWN` means that the request may have run, `RELEASED` that it has not
    run, so that its key may be claimed again.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@final
@attrs.frozen
class Claim:
    """The object that the platform stores for one idempotency key.

    Args:
        claim_id: Unique id of this claim.
        service: Service of the request.
        body_digest: Digest of method, path and body.
        holder: Incarnation of the entry VM that may dispatch the request.
        state: Progress of the request.
        written_wall_ms: Time of the claim, Unix milliseconds.
        deadline_wall_ms: Time by which the request has ended, Unix
            milliseconds.
        answer: The complete response, or None when the request has not run
            or the response is too large to store.
    """

    claim_id: str
    service: str
    body_digest: str
    holder: str
    state: ClaimState
    written_wall_ms: int
    deadline_wall_ms: int
    answer: RecordedAnswer | None = None


@final
@attrs.frozen
class HeldClaim:
    """A claim that this entry VM holds, for updating it later.

    Args:
        stored: The version of the stored object that this entry VM wrote.
        claim: The decoded claim.
    """

    stored: StoredObject
    claim: Claim
