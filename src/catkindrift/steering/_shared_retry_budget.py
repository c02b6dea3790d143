"""Budget of extra attempts, shared by all entry VMs."""

from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._bounds import SteeringBounds

# Fractions of the limits that are used. The margin covers that the windows of
# entry VMs aren't aligned and that some of their clocks run faster.
_RATIO_FRACTION = 0.7
_SLACK_FRACTION = 0.7
# Extra attempts of an entry VM that doesn't know how many share the limit.
_UNKNOWN_SLACK = 1


@final
@attrs.define(eq=False, repr=False)
class SharedRetryBudget:
    """Limits the extra attempts at each service in each window.

    The part of the limit that is proportional to requests counts only the
    requests of this entry VM; the fixed part is divided by the number of
    entry VMs. So all entry VMs together stay within the limit without
    communicating.

    Args:
        clock: Source of time.
        bounds: Limits on the total over all entry VMs.
    """

    _clock: Clock
    bounds: SteeringBounds
    _member_count: int = attrs.field(init=False, default=0)
    _request_times_ms: dict[str, deque[int]] = attrs.field(
        init=False, factory=dict
    )
    _extra_times_ms: dict[str, deque[int]] = attrs.field(
        init=False, factory=dict
    )

    def update_member_count(self, count: int) -> None:
        """Set the number of entry VMs that share the fixed part of the limit.

        Args:
            count: Number of entry VMs; 0 if it isn't known, and then this VM
                has a single attempt of it.
        """
        self._member_count = count

    def count_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._recent(self._request_times_ms, service).append(
            self._clock.now_ms()
        )

    def try_spend(self, service: str) -> bool:
        """Spend one extra attempt; return False if the budget is exhausted."""
        extras = self._recent(self._extra_times_ms, service)
        requests = self._recent(self._request_times_ms, service)
        earned = self.bounds.retry_ratio * _RATIO_FRACTION * len(requests)
        if len(extras) + 1 > earned + self._slack():
            return False
        extras.append(self._clock.now_ms())
        return True

    def _slack(self) -> float:
        if not self._member_count:
            return _UNKNOWN_SLACK
        return self.bounds.retry_slack * _SLACK_FRACTION / self._member_count

    def _recent(
        self,
        counted: dict[str, deque[int]],
        service: str,
    ) -> deque[int]:
        recent = counted.setdefault(service, deque())
        oldest_ms = self._clock.now_ms() - self.bounds.retry_window_ms
        while recent and recent[0] <= oldest_ms:
            recent.popleft()
        return recent
