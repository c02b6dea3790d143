"""Rule that decides whether an attempt may be retried."""

import enum
from typing import final

import attrs

from catkindrift.domain import Repeat
from catkindrift.retries._attempt_result import (
    AttemptResult,
    Interrupted,
    NotStarted,
    NotStartedReason,
)

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@final
class Outcome(enum.StrEnum):
    """Whether a request without a response ran, as reported to the caller."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@final
@attrs.frozen
class RetryRule:
    """Retry rule for one request.

    Args:
        method: HTTP method.
        repeat: Whether requests of the service with unsafe methods may be
            repeated.
    """

    method: str
    repeat: Repeat

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        if self.must_run_once:
            return False
        return self.method in _SAFE_METHODS or self.repeat is Repeat.IDEMPOTENT

    @property
    def must_run_once(self) -> bool:
        """Whether the request needs a claim before it is sent."""
        return self.repeat is Repeat.ONCE and self.method not in _SAFE_METHODS

    def allows(self, attempt: AttemptResult) -> bool:
        """Return whether the request may be retried.

        Args:
            attempt: Result of the previous attempt.
        """
        match attempt:
            case NotStarted(reason=NotStartedReason.REFUSED_BY_UPSTREAM):
                return attempt.can_resend and not self.must_run_once
            case NotStarted():
                return attempt.can_resend
            case Interrupted():
                return attempt.can_resend and self.is_idempotent
        return False
