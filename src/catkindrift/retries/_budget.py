"""Retry budget of one process."""

from typing import final

import attrs

_RETRIES_PER_REQUEST = 0.1
_MAX_CREDIT = 10.0


@final
@attrs.define
class RetryBudget:
    """Token bucket that allows at most one retry per ten requests.

    The bucket starts empty and each request adds a tenth of a token, so
    retries never exceed a tenth of the requests of the process.
    """

    _credit: float = attrs.field(init=False, default=0)
    requests: int = attrs.field(init=False, default=0)
    retries: int = attrs.field(init=False, default=0)

    @property
    def has_credit(self) -> bool:
        """Whether the budget allows a retry now."""
        return self._credit >= 1

    def count_request(self) -> None:
        """Add credit for the first attempt of a request."""
        self.requests += 1
        earned = self._credit + _RETRIES_PER_REQUEST
        self._credit = min(earned, _MAX_CREDIT)

    def try_spend(self) -> bool:
        """Spend credit for one retry; return False if there is too little."""
        if self._credit < 1:
            return False
        self._credit -= 1
        self.retries += 1
        return True
