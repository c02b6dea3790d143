"""Budget and breaker for platform calls."""

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
    """Lets calls through while the platform answers and budget is left.

    Args:
        budget: Calls that this VM may make.
        breaker: Pauses calls after failures.
    """

    _budget: TokenBucket
    _breaker: CircuitBreaker
    calls_made: int = attrs.field(init=False, default=0)
    calls_refused: int = attrs.field(init=False, default=0)

    @property
    def is_available(self) -> bool:
        """Return whether recent calls were answered."""
        return not self._breaker.is_open

    async def call(
        self,
        call: Callable[[], Awaitable[_Response]],
        reserve: int = 0,
    ) -> _Response:
        """Make a call, or refuse it.

        Args:
            call: Makes the call.
            reserve: Calls that must remain for more important use.

        Raises:
            PlatformUnavailableError: The call was refused or not taken.
            PlatformAmbiguousError: The answer to a write was lost.
            PlatformConflictError: A condition did not hold.
        """
        self._check_allowed(reserve)
        self.calls_made += 1
        try:
            answer = await call()
        except NO_RESPONSE_ERRORS:
            self._breaker.record_failure()
            raise
        except PlatformConflictError:
            self._breaker.record_success()
            raise
        self._breaker.record_success()
        return answer

    def _check_allowed(self, reserve: int) -> None:
        if not self.is_available:
            self.calls_refused += 1
            raise PlatformUnavailableError(
                'recent platform calls failed; retry after some seconds',
            )
        if not self._budget.try_take(reserve):
            self.calls_refused += 1
            raise PlatformUnavailableError(
                'the budget of platform calls is used up; retry later or '
                'raise platform.calls_per_second',
            )
