"""Load, latency and failures of one upstream, seen by this entry VM."""

from collections import OrderedDict
from typing import final

import attrs

from catkindrift.steering._host_speed import HostSpeed
from catkindrift.steering._load_report import LoadReport
from catkindrift.steering._upstream import Upstream

# Weight of the newest sample in moving averages over about five samples.
_SAMPLE_WEIGHT = 0.3
# The load from other entry VMs changes within the time of a few requests.
_LOAD_REPORT_TTL_MS = 2000
# Extra latency decays over this time, so that a slow upstream is tried again.
_EXTRA_LATENCY_TTL_MS = 4000
# A response that has to load its object takes slightly more than three times
# the average; only slower ones indicate a slow upstream.
_SLOW_RESPONSE_FACTOR = 4
# Number of recently used objects that an upstream certainly still caches.
_MAX_WARM_KEYS = 64
_WARM_TTL_MS = 15_000
# Consecutive failures after which an upstream is ejected.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_MS = 800
_MAX_EJECTION_MS = 6000


@final
@attrs.define(eq=False, repr=False)
class UpstreamState:
    """In-flight requests, reported load, latency and failures of an upstream.

    Args:
        upstream: Entry of the upstream in the platform's store.
        first_seen_ms: When this process first saw the entry.
        cold_until_ms: Time until which it counts as cold.
        restart_until_ms: Time until which it may have been restarted unseen,
            so that it counts as cold too.
        ejected_until_ms: Time until which it gets no requests after failures.
        is_leaving: Whether its own responses state that it is shutting down.
        paused_until_ms: Time until which it wants no requests from this VM.
        failure_rate: Moving average of failures per request, from 0 to 1.
        load_reported_ms: Time of the last load report; 0 if there was none.
        host_speed: Most recently reported speed of its host.
    """

    upstream: Upstream
    first_seen_ms: int
    cold_until_ms: int = 0
    restart_until_ms: int = 0
    ejected_until_ms: int = 0
    is_leaving: bool = False
    paused_until_ms: int = 0
    failure_rate: float = 0
    load_reported_ms: int = 0
    host_speed: HostSpeed = attrs.field(init=False, factory=HostSpeed)
    _consecutive_failures: int = 0
    _other_load: float = 0
    _extra_latency_ms: float = 0
    _extra_latency_at_ms: int = 0
    _in_flight: dict[int, int] = attrs.field(init=False, factory=dict)
    _warm_keys: OrderedDict[str, int] = attrs.field(
        init=False, factory=OrderedDict
    )

    @property
    def in_flight(self) -> int:
        """Number of this entry VM's requests in flight at the upstream."""
        return len(self._in_flight)

    def is_cold(self, now_ms: int) -> bool:
        """Return whether requests to the upstream are limited to a low rate."""
        return now_ms < max(self.cold_until_ms, self.restart_until_ms)

    def load(self, now_ms: int) -> float:
        """Estimate the requests of all entry VMs at the upstream.

        The reported load of other entry VMs decays with the report's age.
        """
        age_ms = now_ms - self.load_reported_ms
        if age_ms >= _LOAD_REPORT_TTL_MS:
            return self.in_flight
        return self.in_flight + self._other_load * (
            1 - age_ms / _LOAD_REPORT_TTL_MS
        )

    def extra_latency_ms(self, now_ms: int, average_ms: float) -> float:
        """Return how much longer than average a request is expected to take.

        Args:
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        age_ms = now_ms - self._extra_latency_at_ms
        seen_ms = self._extra_latency_ms * max(
            0, 1 - age_ms / _EXTRA_LATENCY_TTL_MS
        )
        return max(seen_ms, self._overdue_ms(now_ms, average_ms), 0)

    def is_warm(self, key: str, now_ms: int) -> bool:
        """Return whether this entry VM recently sent the object here."""
        return now_ms - self._warm_keys.get(key, -_WARM_TTL_MS) < _WARM_TTL_MS

    def record_request(self, token: int, key: str, now_ms: int) -> None:
        """Add a request in flight.

        Args:
            token: Unique number of the attempt.
            key: Key of the requested object; empty if it has none.
            now_ms: Present time.
        """
        self._in_flight[token] = now_ms
        if key:
            self._warm_keys[key] = now_ms
            self._warm_keys.move_to_end(key)
            if len(self._warm_keys) > _MAX_WARM_KEYS:
                self._warm_keys.popitem(last=False)

    def record_end(self, token: int) -> None:
        """Remove a request in flight, whatever its result."""
        self._in_flight.pop(token, None)

    def record_response(
        self, now_ms: int, took_ms: float, average_ms: float
    ) -> None:
        """Update latency and failure rate from a complete response.

        Args:
            now_ms: Present time.
            took_ms: Time from the request to the complete response.
            average_ms: Average latency of the service.
        """
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
        """Update the load of other entry VMs from an upstream's report."""
        other_load = max(0, report.total - self.in_flight)
        self._other_load += (other_load - self._other_load) / 2
        self.load_reported_ms = now_ms

    def record_refusal(self) -> None:
        """Raise the failure rate for a request that was not started."""
        self.failure_rate += _SAMPLE_WEIGHT * (1 - self.failure_rate)

    def record_failure(self, now_ms: int) -> None:
        """Count an invalid, truncated or missing response."""
        self.record_refusal()
        self._consecutive_failures += 1
        if self._consecutive_failures >= _FAILURES_TO_EJECT:
            self.eject(now_ms)

    def eject(self, now_ms: int) -> None:
        """Stop sending requests to the upstream for a time.

        The time doubles with each consecutive failure, up to a maximum.
        """
        self._consecutive_failures = max(
            self._consecutive_failures, _FAILURES_TO_EJECT
        )
        doublings = self._consecutive_failures - _FAILURES_TO_EJECT
        time_ms = min(_FIRST_EJECTION_MS << doublings, _MAX_EJECTION_MS)
        self.ejected_until_ms = max(self.ejected_until_ms, now_ms + time_ms)

    def end_ejection(self) -> None:
        """Allow requests again, as the failures were not the upstream's."""
        self._consecutive_failures = 0
        self.ejected_until_ms = 0

    def _overdue_ms(self, now_ms: int, average_ms: float) -> float:
        oldest_ms = next(iter(self._in_flight.values()), now_ms)
        return now_ms - oldest_ms - 3 * average_ms
