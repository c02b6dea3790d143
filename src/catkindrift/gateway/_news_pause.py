"""How long a watch lets news gather before it asks for more."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits import jittered

_MILLISECONDS_PER_SECOND = 1000
# A pause after news, so that changes in quick succession share a call. It
# stays well below the 2.5 s in which a change has to be in force.
_NEWS_PAUSE_S = 1.2
_NEWS_SPREAD = 0.2
# Where one VM asks for its zone, calls are few; the time goes to noticing when
# that VM is in trouble.
_SHARED_PAUSE_S = 0.7
# A process that has just started hears of many changes, and little of what it
# decides is bound by time yet.
_STARTING_MS = 3000
_STARTING_PAUSE_S = 1.8
# A change may be in force this much later for each second that answers take to
# arrive: half of it for the answer that runs, half for the next.
_ARRIVALS_IN_PAUSE = 2


@final
@attrs.define(eq=False)
class NewsPause:
    """Saves calls while changes come in quick succession.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    is_shared: bool = attrs.field(init=False, default=False)
    _started_ms: int = attrs.field(init=False)
    _first_part_ms: int | None = attrs.field(init=False, default=None)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._started_ms = self._clock.now_ms()

    def asked(self, *, is_wait: bool) -> None:
        """Note that an answer is awaited.

        Args:
            is_wait: Whether it comes with the next change, not at once.
        """
        self._first_part_ms = None if is_wait else self._clock.now_ms()

    def part_arrived(self) -> None:
        """Note that a part of the answer has come."""
        if self._first_part_ms is None:
            self._first_part_ms = self._clock.now_ms()

    def seconds(self) -> float:
        """Return the pause after the answer that has just come whole."""
        now_ms = self._clock.now_ms()
        pause = _SHARED_PAUSE_S if self.is_shared else _NEWS_PAUSE_S
        if now_ms - self._started_ms < _STARTING_MS:
            pause = _STARTING_PAUSE_S
        if self._first_part_ms is not None:
            arrival_ms = now_ms - self._first_part_ms
            spent_ms = arrival_ms * _ARRIVALS_IN_PAUSE
            pause = max(pause - spent_ms / _MILLISECONDS_PER_SECOND, 0)
        return jittered(self._rng, pause, _NEWS_SPREAD)
