"""Cost model by which upstreams are compared."""

from typing import final

import attrs

from catkindrift.steering._distances import ZoneDistances
from catkindrift.steering._request_kind import RequestKind
from catkindrift.steering._route import Route
from catkindrift.steering._upstream_state import UpstreamState

# A failed attempt costs the caller about one more attempt.
_FAILURE_COST_MS = 600.0
# Loading an object on another upstream makes one response slow and the
# following ones fast, so the second choice is charged only a part of it.
_SECOND_CHOICE_FRACTION = 0.4
_FURTHER_CHOICE_FRACTION = 1.2
# Traffic between zones and regions is limited and billed.
_UPLOAD_OTHER_ZONE_COST_MS = 12.0
_UPLOAD_OTHER_REGION_COST_MS = 90.0
_OTHER_REGION_COST_MS = 15.0


@final
@attrs.frozen
class CostModel:
    """Estimates the cost in milliseconds of placing a request on an upstream.

    `average_ms` is always the average latency of the service.

    Args:
        distances: Round-trip times to the upstreams' zones.
    """

    _distances: ZoneDistances

    def queue_wait_ms(
        self,
        state: UpstreamState,
        now_ms: int,
        average_ms: float,
    ) -> float:
        """Return the expected time in the queue of an upstream."""
        slots = state.upstream.slots
        queued = state.load(now_ms) + 1 - slots
        service_ms = average_ms + _extra_ms(state, now_ms, average_ms)
        return max(0, queued) * service_ms / slots

    def total_ms(
        self,
        state: UpstreamState,
        now_ms: int,
        average_ms: float,
    ) -> float:
        """Return the expected time to a response, regardless of the object."""
        return (
            average_ms
            + self.queue_wait_ms(state, now_ms, average_ms)
            + _extra_ms(state, now_ms, average_ms)
            + self._distances.round_trip_ms(state.upstream.zone)
            + state.failure_rate * _FAILURE_COST_MS
        )

    def transfer_ms(self, state: UpstreamState, route: Route) -> float:
        """Return the cost of traffic that leaves the zone or region."""
        zone = state.upstream.zone
        is_upload = route.kind is RequestKind.UPLOAD
        if not self._distances.is_own_region(zone):
            return (
                _UPLOAD_OTHER_REGION_COST_MS
                if is_upload
                else _OTHER_REGION_COST_MS
            )
        if is_upload and not self._distances.is_own_zone(zone):
            return _UPLOAD_OTHER_ZONE_COST_MS
        return 0

    def cache_miss_ms(
        self, rank: int, average_ms: float, *, is_warm: bool
    ) -> float:
        """Return the cost of an upstream that may not have cached the object.

        Args:
            rank: Position of the upstream in the order for the object.
            average_ms: Average latency of the service.
            is_warm: Whether this entry VM recently sent the object there.
        """
        if rank == 0 or is_warm:
            return float(rank)
        fraction = (
            _SECOND_CHOICE_FRACTION if rank == 1 else _FURTHER_CHOICE_FRACTION
        )
        return average_ms * fraction


def _extra_ms(state: UpstreamState, now_ms: int, average_ms: float) -> float:
    """Return the extra time to expect, either seen or due to a slow host."""
    return max(
        state.extra_latency_ms(now_ms, average_ms),
        state.host_speed.extra_ms(now_ms, average_ms),
    )
