"""Claims that make sure a request runs at most once."""

from catkindrift.claims._claim import (
    CLAIM_RETENTION_MS,
    Claim,
    ClaimState,
    HeldClaim,
)
from catkindrift.claims._claim_result import (
    AlreadyCompleted,
    ClaimAcquired,
    ClaimResult,
    ClaimUnavailable,
    InProgress,
    KeyReused,
    OutcomeUnknown,
)
from catkindrift.claims._store import ClaimStore

__all__ = [
    'CLAIM_RETENTION_MS',
    'AlreadyCompleted',
    'Claim',
    'ClaimAcquired',
    'ClaimResult',
    'ClaimState',
    'ClaimStore',
    'ClaimUnavailable',
    'HeldClaim',
    'InProgress',
    'KeyReused',
    'OutcomeUnknown',
]
