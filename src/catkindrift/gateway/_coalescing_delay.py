"""How long a watch lets news gather before it asks for more."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits import jittered

_MILLISECONDS_PER_SECOND = 1000
# A pause after news, so that changes in quick succession share a call. It
# stays well below the 2.5 s in which a change has to be in force.
_DEFAULT_DELAY_S = 1.2
_JITTER_RATIO = 0.2
# Where one VM asks for its zone, calls are few; the time goes to noticing when
# that VM is in trouble.
_SHARED_DELAY_S = 0.7
# A process that has just started hears of many changes, and little of what it
# decides is bound by time yet.
_STARTUP_MS = 3000
_STARTUP_DELAY_S = 1.8
# A change may be in force this much later for each second that answers take to
# arrive: half of it for the answer that runs, half for the next.
_TRANSFERS_IN_DELAY = 2


@final
@attrs.define(eq=False)
class CoalescingDelay:
    """Saves calls while changes come in quick succession.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    is_shared: bool = attrs.field(init=False, default=False)
    _started_ms: int = attrs.field(init=False)
    _first_chunk_ms: int | None = attrs.field(init=False, default=None)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._started_ms = self._clock.now_ms()

    def record_request(self, *, is_long_poll: bool) -> None:
        """Note that an answer is awaited.

        Args:
            is_wait: Whether it comes with the next change, not at once.
        """
        self._first_chunk_ms = None if is_long_poll else self._clock.now_ms()

    def record_chunk(self) -> None:
        """Note that a part of the answer has come."""
        if self._first_chunk_ms is None:
            self._first_chunk_ms = self._clock.now_ms()

    def delay_s(self) -> float:
        """Return the pause after the answer that has just come whole."""
        now_ms = self._clock.now_ms()
        delay = _SHARED_DELAY_S if self.is_shared else _DEFAULT_DELAY_S
        if now_ms - self._started_ms < _STARTUP_MS:
            delay = _STARTUP_DELAY_S
        if self._first_chunk_ms is not None:
            transfer_ms = now_ms - self._first_chunk_ms
            spent_ms = transfer_ms * _TRANSFERS_IN_DELAY
            delay = max(delay - spent_ms / _MILLISECONDS_PER_SECOND, 0)
        return jittered(self._rng, delay, _JITTER_RATIO)
