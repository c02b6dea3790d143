"""Processes that other entry VMs name and this one doesn't know."""

import itertools
from typing import final

import attrs

from catkindrift.clock import Clock

# Facts of a process are asked for again after this time: five round trips
# between regions and two datagrams that wait.
_ASK_AGAIN_MS = 300
# A process that no VM has named for this time is asked for no longer.
_WANTED_MS = 2000


@final
@attrs.define(eq=False, repr=False)
class WantedProcesses:
    """Keeps the processes whose facts have to be asked for.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _named_ms: dict[int, int] = attrs.field(init=False, factory=dict)
    _asked_ms: dict[int, int] = attrs.field(init=False, factory=dict)

    def add(self, key: int) -> None:
        """Record that a process was named that is unknown."""
        self._named_ms[key] = self._clock.now_ms()

    def discard(self, key: int) -> None:
        """Record that a process is known."""
        self._named_ms.pop(key, None)
        self._asked_ms.pop(key, None)

    def take(self, count: int) -> tuple[int, ...]:
        """Return processes to ask for now.

        Args:
            count: Largest number of them.
        """
        now_ms = self._clock.now_ms()
        for key, named_ms in tuple(self._named_ms.items()):
            if now_ms - named_ms > _WANTED_MS:
                self.discard(key)
        due = filter(self._is_due, self._named_ms)
        wanted = tuple(itertools.islice(due, count))
        self._asked_ms.update(dict.fromkeys(wanted, now_ms))
        return wanted

    def _is_due(self, key: int) -> bool:
        asked_ms = self._asked_ms.get(key)
        now_ms = self._clock.now_ms()
        return asked_ms is None or now_ms - asked_ms >= _ASK_AGAIN_MS
