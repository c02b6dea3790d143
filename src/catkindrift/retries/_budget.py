"""A limit on retries relative to requests."""

from typing import final

import attrs

_RETRIES_PER_REQUEST = 0.1
_MAX_CREDIT = 10.0


@final
@attrs.define
class RetryBudget:
    """Allows at most one retry for ten requests.

    Requests earn credit before retries spend it, so attempts never exceed
    requests by more than a tenth over the life of the process.
    """

    _credit: float = attrs.field(init=False, default=0)
    requests: int = attrs.field(init=False, default=0)
    retries: int = attrs.field(init=False, default=0)

    @property
    def has_credit(self) -> bool:
        """Return whether a retry could be made now."""
        return self._credit >= 1

    def count_request(self) -> None:
        """Earn credit for a first attempt."""
        self.requests += 1
        earned = self._credit + _RETRIES_PER_REQUEST
        self._credit = min(earned, _MAX_CREDIT)

    def try_spend(self) -> bool:
        """Spend credit for one retry and return whether there was enough."""
        if self._credit < 1:
            return False
        self._credit -= 1
        self.retries += 1
        return True
