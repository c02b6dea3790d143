"""What this entry VM has seen of one upstream."""

from collections import OrderedDict
from typing import final

import attrs

from catkindrift.steering._load_report import LoadReport
from catkindrift.steering._upstream import Upstream

# Weight of the newest sample in moving averages: about five samples count.
_NEWEST = 0.3
# Reports of others' load lose their meaning within a few service times.
_REPORT_LIFE_MS = 2000
# A slow upstream is tried again as its slowness is forgotten.
_SLOWNESS_LIFE_MS = 4000
# An answer that had to warm up takes three times as long as usual, or a
# little more; only what takes longer tells of a slow upstream.
_SLOW_TIMES = 4
# Keys that one upstream surely still remembers when it used them last.
_WARM_KEYS = 64
_WARM_LIFE_MS = 15_000
# Failures in a row after which an upstream gets no work for a time.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_MS = 800
_LONGEST_EJECTION_MS = 6000


@final
@attrs.define(eq=False)
class UpstreamState:
    """Own requests, reported load, failures and speed of one upstream.

    Args:
        upstream: What the platform says about it.
        first_seen_ms: When this process first knew it.
        cold_until_ms: Until when it counts as cold.
    """

    upstream: Upstream
    first_seen_ms: int
    cold_until_ms: int = 0
    ejected_until_ms: int = 0
    failure_rate: float = 0
    _failures_in_row: int = 0
    _others: float = 0
    _reported_ms: int = 0
    _slowness_ms: float = 0
    _slowness_at_ms: int = 0
    _in_flight: dict[int, int] = attrs.field(init=False, factory=dict)
    _warm: OrderedDict[str, int] = attrs.field(init=False, factory=OrderedDict)

    @property
    def in_flight(self) -> int:
        """Return the requests of this entry VM that it runs."""
        return len(self._in_flight)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it must be given work slowly."""
        return now_ms < self.cold_until_ms

    def load(self, now_ms: int) -> float:
        """Return the estimated requests of all entry VMs at the upstream."""
        age_ms = now_ms - self._reported_ms
        if age_ms >= _REPORT_LIFE_MS:
            return self.in_flight
        return self.in_flight + self._others * (1 - age_ms / _REPORT_LIFE_MS)

    def slowness_ms(self, now_ms: int, usual_ms: float) -> float:
        """Return how much longer than usual a request may take here."""
        age_ms = now_ms - self._slowness_at_ms
        seen_ms = self._slowness_ms * max(0, 1 - age_ms / _SLOWNESS_LIFE_MS)
        return max(seen_ms, self._overdue_ms(now_ms, usual_ms), 0)

    def is_warm(self, key: str, now_ms: int) -> bool:
        """Return whether this entry VM lately sent the object here."""
        return now_ms - self._warm.get(key, -_WARM_LIFE_MS) < _WARM_LIFE_MS

    def sent(self, token: int, key: str, now_ms: int) -> None:
        """Count a request that is handed to the upstream."""
        self._in_flight[token] = now_ms
        if key:
            self._warm[key] = now_ms
            self._warm.move_to_end(key)
            if len(self._warm) > _WARM_KEYS:
                self._warm.popitem(last=False)

    def ended(self, token: int) -> None:
        """Forget a request, however it ended."""
        self._in_flight.pop(token, None)

    def answered(self, now_ms: int, took_ms: float, usual_ms: float) -> None:
        """Learn from a whole answer."""
        self._failures_in_row = 0
        self.ejected_until_ms = 0
        self.failure_rate *= 1 - _NEWEST
        before_ms = self.slowness_ms(now_ms, usual_ms)
        extra_ms = took_ms - _SLOW_TIMES * usual_ms
        self._slowness_ms = before_ms + _NEWEST * (extra_ms - before_ms)
        self._slowness_at_ms = now_ms

    def reported(self, report: LoadReport, now_ms: int) -> None:
        """Learn the load that the upstream stated."""
        others = max(0, report.total - self.in_flight)
        self._others += (others - self._others) / 2
        self._reported_ms = now_ms

    def refused(self) -> None:
        """Count a request that the upstream did not start."""
        self.failure_rate += _NEWEST * (1 - self.failure_rate)

    def failed(self, now_ms: int) -> None:
        """Count an answer that was wrong, cut or missing."""
        self.refused()
        self._failures_in_row += 1
        if self._failures_in_row >= _FAILURES_TO_EJECT:
            self.eject(now_ms)

    def eject(self, now_ms: int) -> None:
        """Give the upstream no work for a time that grows."""
        self._failures_in_row = max(self._failures_in_row, _FAILURES_TO_EJECT)
        doublings = self._failures_in_row - _FAILURES_TO_EJECT
        pause_ms = min(_FIRST_EJECTION_MS << doublings, _LONGEST_EJECTION_MS)
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + pause_ms)

    def _overdue_ms(self, now_ms: int, usual_ms: float) -> float:
        oldest_ms = next(iter(self._in_flight.values()), now_ms)
        return now_ms - oldest_ms - 3 * usual_ms
