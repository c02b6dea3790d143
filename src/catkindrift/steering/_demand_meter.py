"""Rate of requests that arrive at this entry VM."""

from typing import final

import attrs

from catkindrift.clock import Clock

# Weight of the newest second: demand follows a surge within a few seconds.
_NEWEST = 0.4


@final
@attrs.define(eq=False)
class DemandMeter:
    """Moving average of the slots that arriving requests would fill.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _arrived: dict[str, int] = attrs.field(init=False, factory=dict)
    _slots: dict[str, float] = attrs.field(init=False, factory=dict)
    _since_ms: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start counting now."""
        self._since_ms = self._clock.now_ms()

    @property
    def slots(self) -> dict[str, float]:
        """Return the average demand by service, in slots."""
        return dict(self._slots)

    def count(self, service: str) -> None:
        """Count a request that arrived."""
        self._arrived[service] = self._arrived.get(service, 0) + 1

    def roll(self, usual_ms: dict[str, float]) -> None:
        """Close the current interval.

        Args:
            usual_ms: Usual time of an answer by service.
        """
        now_ms = self._clock.now_ms()
        elapsed_ms = max(1, now_ms - self._since_ms)
        for service in self._arrived.keys() | self._slots.keys():
            arrived = self._arrived.get(service, 0)
            newest = arrived * usual_ms.get(service, 0) / elapsed_ms
            before = self._slots.get(service, newest)
            self._slots[service] = before + _NEWEST * (newest - before)
        self._arrived.clear()
        self._since_ms = now_ms
