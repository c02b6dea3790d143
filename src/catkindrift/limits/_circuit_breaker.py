"""A circuit breaker with exponential backoff."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock

_FAILURES_TO_OPEN = 3
_MIN_PAUSE_MS = 200
_MAX_PAUSE_MS = 5000


@final
@attrs.define
class CircuitBreaker:
    """Pauses calls to a service after consecutive failures.

    The pause doubles with each further failure up to a limit. It is jittered
    so that VMs that saw the same outage do not retry at the same time.

    Args:
        clock: Source of monotonic time.
        rng: Source of jitter.
    """

    _clock: Clock
    _rng: random.Random
    _failures: int = attrs.field(init=False, default=0)
    _open_until_ms: int = attrs.field(init=False, default=0)

    @property
    def is_open(self) -> bool:
        """Return whether calls should be refused now."""
        return self._clock.now_ms() < self._open_until_ms

    def record_success(self) -> None:
        """Record a successful call and close the breaker."""
        self._failures = 0
        self._open_until_ms = 0

    def record_failure(self) -> None:
        """Record a failed call, opening the breaker from the third on."""
        self._failures += 1
        excess = self._failures - _FAILURES_TO_OPEN
        if excess < 0:
            return
        pause_ms = min(_MIN_PAUSE_MS << min(excess, 8), _MAX_PAUSE_MS)
        jittered_ms = round(pause_ms * self._rng.uniform(0.5, 1))
        self._open_until_ms = self._clock.now_ms() + jittered_ms
