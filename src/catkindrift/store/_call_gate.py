"""Rate limit and circuit breaker for platform calls."""

from collections.abc import Awaitable, Callable
from typing import TypeVar, final

import attrs

from catkindrift.errors import (
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from catkindrift.limits import CircuitBreaker, TokenBucket

_Response = TypeVar('_Response')

NO_RESPONSE_ERRORS = (PlatformUnavailableError, PlatformAmbiguousError)


@final
@attrs.define
class CallGate:
    """Makes platform calls within a rate limit and a circuit breaker.

    Args:
        budget: Rate limit for the calls of this VM.
        breaker: Circuit breaker that rejects calls after failures.
    """

    _budget: TokenBucket
    _breaker: CircuitBreaker
    calls_made: int = attrs.field(init=False, default=0)
    calls_refused: int = attrs.field(init=False, default=0)

    @property
    def is_available(self) -> bool:
        """Return whether the circuit breaker lets calls through."""
        return not self._breaker.is_open

    async def call(
        self,
        call: Callable[[], Awaitable[_Response]],
        reserve: int = 0,
    ) -> _Response:
        """Make a call unless the rate limit or circuit breaker rejects it.

        Args:
            call: Makes the call.
            reserve: Calls that must stay in the budget for calls with a
                higher priority.

        Returns:
            The result of the call.

        Raises:
            PlatformUnavailableError: The call was rejected, had no effect, or
                was a read without a response.
            PlatformAmbiguousError: The response to a write was lost.
            PlatformConflictError: The condition of a write did not hold.
        """
        self._check_allowed(reserve)
        self.calls_made += 1
        try:
            response = await call()
        except NO_RESPONSE_ERRORS:
            self._breaker.record_failure()
            raise
        except PlatformConflictError:
            self._breaker.record_success()
            raise
        self._breaker.record_success()
        return response

    def _check_allowed(self, reserve: int) -> None:
        if not self.is_available:
            self.calls_refused += 1
            raise PlatformUnavailableError(
                'recent platform calls failed; retry in a few seconds',
            )
        if not self._budget.try_take(reserve):
            self.calls_refused += 1
            raise PlatformUnavailableError(
                'the rate limit of platform calls is reached; retry later or '
                'raise platform.calls_per_second',
            )
