"""A claim on the right to run a request once."""

import enum
from typing import final

import attrs

from catkindrift.retries import RecordedAnswer
from catkindrift.store import StoredObject

CLAIM_RETENTION_MS = 86_400_000


@final
class ClaimState(enum.StrEnum):
    """How far the claimed request has come."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


@final
@attrs.frozen
class Claim:
    """The object that the platform keeps for one idempotency key.

    Args:
        claim_id: Unique id of this claim.
        service: Service of the request.
        body_digest: Digest of method, path and body.
        holder: Entry VM that may dispatch.
        state: How far the request has come.
        written_wall_ms: Time of the claim, Unix milliseconds.
        deadline_wall_ms: Time by which the request has ended.
        answer: The complete answer, when it is small enough to be kept.
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
    """A claim that this entry VM holds.

    Args:
        stored: The version that this entry VM wrote.
        claim: Its value.
    """

    stored: StoredObject
    claim: Claim
