"""What this entry VM has seen of one upstream."""

from collections import OrderedDict
from typing import final

import attrs

from catkindrift.steering._load_report import LoadReport
from catkindrift.steering._upstream import Upstream

# Weight of the newest sample in moving averages: about five samples count.
_SAMPLE_WEIGHT = 0.3
# Reports of other_load' load lose their meaning within a few service times.
_LOAD_REPORT_TTL_MS = 2000
# A slow upstream is tried again as its slowness is forgotten.
_EXTRA_LATENCY_TTL_MS = 4000
# An answer that had to warm up takes three times as long as usual, or a
# little more; only what takes longer tells of a slow upstream.
_SLOW_RESPONSE_FACTOR = 4
# Keys that one upstream surely still remembers when it used them last.
_MAX_WARM_KEYS = 64
_WARM_TTL_MS = 15_000
# Failures in a row after which an upstream gets no work for a time.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_MS = 800
_MAX_EJECTION_MS = 6000


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
    _consecutive_failures: int = 0
    _other_load: float = 0
    _load_reported_ms: int = 0
    _extra_latency_ms: float = 0
    _extra_latency_at_ms: int = 0
    _in_flight: dict[int, int] = attrs.field(init=False, factory=dict)
    _warm_keys: OrderedDict[str, int] = attrs.field(
        init=False, factory=OrderedDict
    )

    @property
    def in_flight(self) -> int:
        """Return the requests of this entry VM that it runs."""
        return len(self._in_flight)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it must be given work slowly."""
        return now_ms < self.cold_until_ms

    def load(self, now_ms: int) -> float:
        """Return the estimated requests of all entry VMs at the upstream."""
        age_ms = now_ms - self._load_reported_ms
        if age_ms >= _LOAD_REPORT_TTL_MS:
            return self.in_flight
        return self.in_flight + self._other_load * (
            1 - age_ms / _LOAD_REPORT_TTL_MS
        )

    def extra_latency_ms(self, now_ms: int, average_ms: float) -> float:
        """Return how much longer than usual a request may take here."""
        age_ms = now_ms - self._extra_latency_at_ms
        seen_ms = self._extra_latency_ms * max(
            0, 1 - age_ms / _EXTRA_LATENCY_TTL_MS
        )
        return max(seen_ms, self._overdue_ms(now_ms, average_ms), 0)

    def is_warm(self, key: str, now_ms: int) -> bool:
        """Return whether this entry VM lately sent the object here."""
        return now_ms - self._warm_keys.get(key, -_WARM_TTL_MS) < _WARM_TTL_MS

    def record_request(self, token: int, key: str, now_ms: int) -> None:
        """Count a request that is handed to the upstream."""
        self._in_flight[token] = now_ms
        if key:
            self._warm_keys[key] = now_ms
            self._warm_keys.move_to_end(key)
            if len(self._warm_keys) > _MAX_WARM_KEYS:
                self._warm_keys.popitem(last=False)

    def record_end(self, token: int) -> None:
        """Forget a request, however it ended."""
        self._in_flight.pop(token, None)

    def record_response(
        self, now_ms: int, took_ms: float, average_ms: float
    ) -> None:
        """Learn from a whole answer."""
        self._consecutive_failures = 0
        self.ejected_until_ms = 0
        self.failure_rate *= 1 - _SAMPLE_WEIGHT
        before_ms = self.extra_latency_ms(now_ms, average_ms)
        extra_ms = took_ms - _SLOW_RESPONSE_FACTOR * average_ms
        self._extra_latency_ms = before_ms + _SAMPLE_WEIGHT * (
            extra_ms - before_ms
        )
        self._extra_latency_at_ms = now_ms

    def record_load(self, report: LoadReport, now_ms: int) -> None:
        """Learn the load that the upstream stated."""
        other_load = max(0, report.total - self.in_flight)
        self._other_load += (other_load - self._other_load) / 2
        self._load_reported_ms = now_ms

    def record_refusal(self) -> None:
        """Count a request that the upstream did not start."""
        self.failure_rate += _SAMPLE_WEIGHT * (1 - self.failure_rate)

    def record_failure(self, now_ms: int) -> None:
        """Count an answer that was wrong, cut or missing."""
        self.record_refusal()
        self._consecutive_failures += 1
        if self._consecutive_failures >= _FAILURES_TO_EJECT:
            self.eject(now_ms)

    def eject(self, now_ms: int) -> None:
        """Give the upstream no work for a time that grows."""
        self._consecutive_failures = max(
            self._consecutive_failures, _FAILURES_TO_EJECT
        )
        doublings = self._consecutive_failures - _FAILURES_TO_EJECT
        pause_ms = min(_FIRST_EJECTION_MS << doublings, _MAX_EJECTION_MS)
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + pause_ms)

    def _overdue_ms(self, now_ms: int, average_ms: float) -> float:
        oldest_ms = next(iter(self._in_flight.values()), now_ms)
        return now_ms - oldest_ms - 3 * average_ms
