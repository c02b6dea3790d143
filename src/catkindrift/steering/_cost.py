"""Expected time until an answer, upstream by upstream."""

from typing import final

import attrs

from catkindrift.steering._distances import ZoneDistances
from catkindrift.steering._request_kind import RequestKind
from catkindrift.steering._route import Route
from catkindrift.steering._upstream_state import UpstreamState

# What a failed answer costs a caller: about one more try.
_FAILURE_COST_MS = 600.0
# A cold start of an object elsewhere costs one slow answer, and pays off
# over the answers that follow; so only fraction of it is charged.
_SECOND_CHOICE_FRACTION = 0.4
_FURTHER_CHOICE_FRACTION = 1.2
# Bytes between zones and regions are limited and paid for.
_UPLOAD_OTHER_ZONE_COST_MS = 12.0
_UPLOAD_OTHER_REGION_COST_MS = 90.0
_OTHER_REGION_COST_MS = 15.0


@final
@attrs.frozen
class CostModel:
    """Adds up what delays an answer.

    Args:
        distances: Round-trip times.
    """

    _distances: ZoneDistances

    def queue_wait_ms(
        self,
        state: UpstreamState,
        now_ms: int,
        average_ms: float,
    ) -> float:
        """Return the expected time in the upstream's queue."""
        slots = state.upstream.slots
        queued = state.load(now_ms) + 1 - slots
        service_ms = average_ms + state.extra_latency_ms(now_ms, average_ms)
        return max(0, queued) * service_ms / slots

    def total_ms(
        self,
        state: UpstreamState,
        now_ms: int,
        average_ms: float,
    ) -> float:
        """Return the expected time until the answer, whatever the object."""
        return (
            average_ms
            + self.queue_wait_ms(state, now_ms, average_ms)
            + state.extra_latency_ms(now_ms, average_ms)
            + self._distances.round_trip_ms(state.upstream.zone)
            + state.failure_rate * _FAILURE_COST_MS
        )

    def transfer_ms(self, state: UpstreamState, route: Route) -> float:
        """Return the charge for bytes that leave the zone or region."""
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
        """Return the charge for an upstream that may not know the object."""
        if rank == 0 or is_warm:
            return float(rank)
        fraction = (
            _SECOND_CHOICE_FRACTION if rank == 1 else _FURTHER_CHOICE_FRACTION
        )
        return average_ms * fraction
