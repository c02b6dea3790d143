"""A token bucket rate limiter."""

from typing import final

import attrs

from catkindrift.clock import Clock

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define
class TokenBucket:
    """Limits the mean rate of calls while allowing short bursts.

    Args:
        clock: Source of monotonic time.
        per_second: Tokens added per second.
        burst: Capacity of the bucket in tokens.
    """

    _clock: Clock
    _per_second: float
    _burst: float
    _tokens: float = attrs.field(init=False)
    _refilled_ms: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self._tokens = self._burst
        self._refilled_ms = self._clock.now_ms()

    @property
    def tokens(self) -> float:
        """Return the number of tokens after refilling up to now."""
        now_ms = self._clock.now_ms()
        elapsed_ms = max(now_ms - self._refilled_ms, 0)
        added = elapsed_ms * self._per_second / _MILLISECONDS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_ms = now_ms
        return self._tokens

    def try_take(self, reserve: float = 0) -> bool:
        """Take one token, if enough are available.

        Args:
            reserve: Tokens that must remain for calls of higher priority.

        Returns:
            Whether a token was taken.
        """
        if self.tokens < 1 + reserve:
            return False
        self._tokens -= 1
        return True

    def wait_ms(self) -> int:
        """Return the milliseconds until one token is available."""
        missing = max(1 - self.tokens, 0)
        return round(missing * _MILLISECONDS_PER_SECOND / self._per_second)
