"""Delay between watch requests that coalesces successive changes."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.jitter import jittered

_MILLISECONDS_PER_SECOND = 1000
# Changes in quick succession share one call. The delay stays well below the
# 2.5 s in which a change must take effect.
_DEFAULT_DELAY_S = 1.2
_JITTER_RATIO = 0.2
# If one VM watches for its zone, calls are few anyway; the shorter delay
# leaves time to detect a failure of that VM.
_SHARED_DELAY_S = 0.7
# A new process receives many changes while few of its decisions are
# time-critical.
_STARTUP_MS = 3000
_STARTUP_DELAY_S = 1.8
# Each second of transfer time shortens the delay by this factor: once for the
# response that has arrived and once for the next one.
_TRANSFERS_IN_DELAY = 2


@final
@attrs.define(eq=False, repr=False)
class CoalescingDelay:
    """Computes the delay after each response with changes.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    is_shared: bool = attrs.field(init=False, default=False)
    _started_ms: int = attrs.field(init=False)
    _first_chunk_ms: int | None = attrs.field(init=False, default=None)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Record the start time of the process."""
        self._started_ms = self._clock.now_ms()

    def record_request(self, *, is_long_poll: bool) -> None:
        """Record the start of a request.

        Args:
            is_long_poll: Whether the response may wait for the next change;
                its transfer then starts with the first chunk.
        """
        self._first_chunk_ms = None if is_long_poll else self._clock.now_ms()

    def record_chunk(self) -> None:
        """Record that a chunk of the response has arrived."""
        if self._first_chunk_ms is None:
            self._first_chunk_ms = self._clock.now_ms()

    def delay_s(self) -> float:
        """Return the delay in seconds after a response that is complete."""
        now_ms = self._clock.now_ms()
        delay = _SHARED_DELAY_S if self.is_shared else _DEFAULT_DELAY_S
        if now_ms - self._started_ms < _STARTUP_MS:
            delay = _STARTUP_DELAY_S
        if self._first_chunk_ms is not None:
            transfer_ms = now_ms - self._first_chunk_ms
            spent_ms = transfer_ms * _TRANSFERS_IN_DELAY
            delay = max(delay - spent_ms / _MILLISECONDS_PER_SECOND, 0)
        return jittered(self._rng, delay, _JITTER_RATIO)
