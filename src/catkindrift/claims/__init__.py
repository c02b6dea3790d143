"""Requests that must run at most once."""

from catkindrift.claims._claim import (
    RETENTION_MS,
    Claim,
    ClaimState,
    HeldClaim,
)
from catkindrift.claims._store import ClaimStore
from catkindrift.claims._verdict import (
    AlreadyDone,
    ClaimUnavailable,
    Granted,
    InProgress,
    KeyReused,
    OutcomeUnknown,
    Verdict,
)

__all__ = [
    'RETENTION_MS',
    'AlreadyDone',
    'Claim',
    'ClaimState',
    'ClaimStore',
    'ClaimUnavailable',
    'Granted',
    'HeldClaim',
    'InProgress',
    'KeyReused',
    'OutcomeUnknown',
    'Verdict',
]
