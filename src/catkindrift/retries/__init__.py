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

__all__ = [
    'Answered',
    'AttemptResult',
    'BodyTooLarge',
    'CallerDisconnected',
    'Interrupted',
    'InterruptedReason',
    'NotStarted',
    'NotStartedReason',
    'Outcome',
    'RecordedAnswer',
    'RetryBudget',
    'RetryRule',
]
