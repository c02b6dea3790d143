"""Refusals: responses by the entry VM instead of an upstream."""

import enum
from typing import final

import attrs

from catkindrift.retries import Outcome


@final
class RefusalReason(enum.StrEnum):
    """Machine-readable reasons, as sent to callers and used in metrics."""

    UNKNOWN_SERVICE = 'unknown_service'
    KEY_MISSING = 'idempotency_key_missing'
    KEY_REUSED = 'idempotency_key_reused'
    IN_PROGRESS = 'request_in_progress'
    ALREADY_RUN = 'request_already_run'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    QUARANTINED = 'quarantined'
    BODY_TOO_LARGE = 'body_too_large'
    QUEUE_FULL = 'queue_full'
    DEADLINE_CANNOT_BE_MET = 'deadline_cannot_be_met'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_ROOM = 'no_room'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_FAILED = 'upstream_failed'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'


@final
@attrs.frozen
class Refusal:
    """A final response by the entry VM itself.

    Args:
        reason: Why there is no upstream response.
        outcome: Whether the request is known not to have run.
        retry_after_ms: Delay before a retry; 0 if a retry is pointless.
    """

    reason: RefusalReason
    outcome: Outcome
    retry_after_ms: int = 0
