"""Requests that this entry VM has recently sent to each upstream."""

import math
from typing import Final, final

import attrs

from catkindrift.steering._upstream import Upstream

# Time after which a request counts for 1/e. At 10 requests a second it covers
# ten requests to each of 30 upstreams; 10 s were too few to tell them apart.
_DECAY_MS: Final = 30_000.0
_Key = tuple[str, str]
# By then a count has decayed to less than a hundredth.
_FORGET_MS: Final = 150_000


@final
@attrs.define
class _DecayingCount:
    """Count that decays exponentially.

    Args:
        amount: Count at `at_ms`.
        at_ms: Time of the last change.
    """

    amount: float
    at_ms: int

    def present(self, now_ms: int) -> float:
        """Return the count at the present time."""
        return self.amount * math.exp((self.at_ms - now_ms) / _DECAY_MS)


@final
@attrs.define(eq=False, repr=False)
class SentRequests:
    """Decaying counts of requests by upstream and by zone of a service.

    All entry VMs get requests for the same objects in about the same
    proportions. If each of them evens out what it sends itself, the sum is
    even, without any news of what the others send.
    """

    _counts: dict[_Key, _DecayingCount] = attrs.field(init=False, factory=dict)
    _forgot_ms: int = attrs.field(init=False, default=0)

    def record(self, upstream: Upstream, now_ms: int) -> None:
        """Count a request that is sent to an upstream."""
        for key in _keys(upstream):
            before = self._amount(key, now_ms)
            self._counts[key] = _DecayingCount(before + 1, now_ms)

    def excess(
        self, upstream: Upstream, upstream_count: int, now_ms: int
    ) -> float:
        """Return by how much an upstream's count would exceed the mean.

        Args:
            upstream: Upstream that a request may be sent to.
            upstream_count: Number of upstreams of the service in its zone.
            now_ms: Present time.

        Returns:
            Excess relative to the mean of the zone, from 0. One request is
            added to both, since the counts are small after a start.
        """
        own_key, zone_key = _keys(upstream)
        mean = self._amount(zone_key, now_ms) / max(1, upstream_count)
        expected = self._amount(own_key, now_ms) + 1
        return max(0, expected / (mean + 1) - 1)

    def forget_old(self, now_ms: int) -> None:
        """Forget counts that have decayed, as of upstreams that are gone.

        It does so at most once in the time after which counts are forgotten.
        """
        if now_ms - self._forgot_ms < _FORGET_MS:
            return
        self._forgot_ms = now_ms
        self._counts = {
            key: count
            for key, count in self._counts.items()
            if now_ms - count.at_ms < _FORGET_MS
        }

    def _amount(self, key: _Key, now_ms: int) -> float:
        known = self._counts.get(key)
        return known.present(now_ms) if known else 0


def _keys(upstream: Upstream) -> tuple[_Key, _Key]:
    own_key = ('', upstream.incarnation)
    return own_key, (upstream.service, upstream.zone)
