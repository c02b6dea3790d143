"""Choice of the upstream for a request."""

from collections.abc import Iterable, Mapping
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._candidate_order import CandidateOrder
from catkindrift.steering._cold_pace import ColdPace
from catkindrift.steering._cost import CostModel
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._placement_result import (
    ChoiceReason,
    NoRoomReason,
    NotPlaced,
    Placed,
)
from catkindrift.steering._region_plan import RegionPlan
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.steering._service_speed import ServiceSpeed
from catkindrift.steering._upstream_state import UpstreamState

# Candidates of the planned region that are weighed first. More would spread
# an object over more upstreams than it is warm on.
_NEAR_CANDIDATES = 4
# Requests at an upstream, relative to its slots, up to which more are sent.
_URGENT_FILL = 3.0
_OTHER_FILL = 2.25
# Shortest and longest advice to a caller that finds no room.
_SHORTEST_RETRY_MS = 100.0
_LONGEST_RETRY_MS = 1000.0
# Advice when no upstream is known to be up; one usually returns in seconds.
_NO_UPSTREAM_RETRY_MS = 500.0


@final
@attrs.define(eq=False)
class Placement:
    """Finds the upstream whose answer is expected first.

    Args:
        clock: Source of time.
        order: Fixed order of upstreams for an object.
        plan: Regions that serve a service.
        cost: Expected delays.
        pace: Shared pace of cold upstreams.
    """

    _clock: Clock
    _order: CandidateOrder
    _plan: RegionPlan
    _cost: CostModel
    _pace: ColdPace
    rules: Mapping[str, ServiceRules] = attrs.field(init=False, factory=dict)
    _speeds: dict[str, ServiceSpeed] = attrs.field(init=False, factory=dict)

    def speed(self, service: str) -> ServiceSpeed:
        """Return the usual speed of a service."""
        return self._speeds.setdefault(service, ServiceSpeed())

    def choose(self, request: PlacementRequest) -> Placed | NotPlaced:
        """Return the best upstream, or why there is none."""
        now_ms = self._clock.now_ms()
        region = self._plan.region_for(request.service, request.key)
        allowed = self._allowed(request, now_ms)
        if not allowed:
            return NotPlaced(NoRoomReason.NO_UPSTREAM, _NO_UPSTREAM_RETRY_MS)
        sound = [each for each in allowed if each.ejected_until_ms <= now_ms]
        if not sound:
            return self._last_resort(request, allowed, now_ms)
        near = [each for each in sound if each.upstream.region == region]
        far = [each for each in sound if each.upstream.region != region]
        best = self._best(request, near[:_NEAR_CANDIDATES], region, now_ms)
        if best is None or best.cost_ms > self._plan_limit_ms(request):
            rest = [*near[_NEAR_CANDIDATES:], *far]
            other = self._best(request, rest, region, now_ms)
            best = _cheaper(best, other)
        return self._in_time(request, best, sound, now_ms)

    def _allowed(
        self,
        request: PlacementRequest,
        now_ms: int,
    ) -> list[UpstreamState]:
        homes = request.route.home_regions
        return [
            state
            for state in self._order.of_key(request.service, request.key)
            if state.upstream.id not in request.excluded
            and (not homes or state.upstream.region in homes)
            and self._keeps_pace(state, now_ms)
        ]

    def _keeps_pace(self, state: UpstreamState, now_ms: int) -> bool:
        if not state.is_cold(now_ms):
            return True
        rules = self.rules.get(state.upstream.service)
        return rules is not None and self._pace.allows(state, rules)

    def _plan_limit_ms(self, request: PlacementRequest) -> float:
        """Return the cost above which other regions are worth a look."""
        return max(request.route.objective_ms / 2, 1)

    def _best(
        self,
        request: PlacementRequest,
        candidates: Iterable[UpstreamState],
        region: str,
        now_ms: int,
    ) -> Placed | None:
        usual_ms = self.speed(request.service).usual_ms
        fill = _URGENT_FILL if request.is_urgent else _OTHER_FILL
        best: Placed | None = None
        for rank, state in enumerate(candidates):
            if state.load(now_ms) >= state.upstream.slots * fill:
                continue
            is_warm = state.is_warm(request.key, now_ms)
            cost_ms = (
                self._cost.total_ms(state, now_ms, usual_ms)
                + self._cost.way_ms(state, request.route)
                + self._cost.object_ms(rank, usual_ms, is_warm=is_warm)
                + self._cost.plan_ms(state, region)
            )
            if best is None or cost_ms < best.cost_ms:
                best = Placed(state, _reason(rank, state, region), cost_ms)
        return best

    def _in_time(
        self,
        request: PlacementRequest,
        best: Placed | None,
        sound: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        usual_ms = self.speed(request.service).usual_ms
        if best is None:
            shortest_ms = min(
                self._cost.wait_ms(state, now_ms, usual_ms) for state in sound
            )
            return NotPlaced(NoRoomReason.ALL_FULL, _bounded(shortest_ms / 2))
        wait_ms = self._cost.wait_ms(best.state, now_ms, usual_ms)
        if wait_ms + usual_ms / 2 > request.remaining_ms:
            return NotPlaced(NoRoomReason.TOO_LATE, _bounded(wait_ms / 2))
        return best

    def _last_resort(
        self,
        request: PlacementRequest,
        ejected: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        """Try the upstream whose pause ends first, one request at a time."""
        first = min(ejected, key=_pause_end)
        if first.in_flight:
            pause_ms = first.ejected_until_ms - now_ms
            return NotPlaced(NoRoomReason.NO_UPSTREAM, _bounded(pause_ms))
        usual_ms = self.speed(request.service).usual_ms
        cost_ms = self._cost.total_ms(first, now_ms, usual_ms)
        return Placed(first, ChoiceReason.LAST_RESORT, cost_ms)


def _pause_end(state: UpstreamState) -> int:
    return state.ejected_until_ms


def _reason(rank: int, state: UpstreamState, region: str) -> ChoiceReason:
    if state.upstream.region != region:
        return ChoiceReason.OTHER_REGION
    return ChoiceReason.SECOND if rank else ChoiceReason.FIRST


def _cheaper(one: Placed | None, other: Placed | None) -> Placed | None:
    if one is None or other is None:
        return one or other
    return one if one.cost_ms <= other.cost_ms else other


def _bounded(wait_ms: float) -> float:
    return min(max(wait_ms, _SHORTEST_RETRY_MS), _LONGEST_RETRY_MS)
