"""Retry decisions, retry budgets and quarantine of crashing requests."""

from catkindrift.retries._attempt_result import (
    Answered,
    AttemptResult,
    BodyTooLarge,
    CallerDisconnected,
    Interrupted,
    InterruptedReason,
    NotStarted,
    NotStartedReason,
    RecordedAnswer,
)
from catkindrift.retries._budget import RetryBudget
from catkindrift.retries._decision import Outcome, RetryRule
from catkindrift.retries._fingerprint import (
    BODY_PREFIX_BYTES,
    request_fingerprint,
    without_caller,
)
from catkindrift.retries._suspects import Cleared, Crash, Suspects
from catkindrift.retries._verdict import Verdict

__all__ = [
    'BODY_PREFIX_BYTES',
    'Answered',
    'AttemptResult',
    'BodyTooLarge',
    'CallerDisconnected',
    'Cleared',
    'Crash',
    'Interrupted',
    'InterruptedReason',
    'NotStarted',
    'NotStartedReason',
    'Outcome',
    'RecordedAnswer',
    'RetryBudget',
    'RetryRule',
    'Suspects',
    'Verdict',
    'request_fingerprint',
    'without_caller',
]
