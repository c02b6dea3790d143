"""Decision about an attempt that did not give an answer."""

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
    """What a caller is told about a request without an answer."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@final
@attrs.frozen
class RetryRule:
    """Which results of a request may be followed by another attempt.

    Args:
        method: HTTP method.
        repeat: Whether writes of the service may be repeated.
    """

    method: str
    repeat: Repeat

    @property
    def is_idempotent(self) -> bool:
        """Return whether running the request twice does no harm."""
        if self.must_run_once:
            return False
        return self.method in _SAFE_METHODS or self.repeat is Repeat.IDEMPOTENT

    @property
    def must_run_once(self) -> bool:
        """Return whether the request needs a claim before it is sent."""
        return self.repeat is Repeat.ONCE and self.method not in _SAFE_METHODS

    def allows(self, attempt: AttemptResult) -> bool:
        """Return whether another attempt is harmless after `attempt`."""
        match attempt:
            case NotStarted(reason=NotStartedReason.REFUSED_BY_UPSTREAM):
                return attempt.can_resend and not self.must_run_once
            case NotStarted():
                return attempt.can_resend
            case Interrupted():
                return attempt.can_resend and self.is_idempotent
        return False
