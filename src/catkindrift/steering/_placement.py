"""Choice of the upstream for a request."""

from collections.abc import Iterator, Mapping
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._candidate_order import CandidateOrder
from catkindrift.steering._cold_rate_limiter import ColdPace
from catkindrift.steering._cost import CostModel
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._placement_result import (
    ChoiceReason,
    NoRoomReason,
    NotPlaced,
    Placed,
)
from catkindrift.steering._request_kind import RequestKind
from catkindrift.steering._service_latency import ServiceSpeed
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.steering._upstream_state import UpstreamState

# Upstreams that one object is placed on. A further one would not know the
# object, and its answer would come later than after a short wait.
_CHOICES = 2
# Requests at an upstream, relative to its slots, up to which more are sent:
# the wait behind them stays near one service time.
_URGENT_FILL = 2.25
_OTHER_FILL = 1.75
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
        cost: Expected delays.
        pace: Shared pace of cold upstreams.
    """

    _clock: Clock
    _order: CandidateOrder
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
        choices, paused = self._sound_and_paused(request, now_ms)
        if not choices:
            return self._without_sound(request, paused, now_ms)
        best = self._best(request, choices, now_ms)
        return self._in_time(request, best, choices, now_ms)

    def _sound_and_paused(
        self,
        request: PlacementRequest,
        now_ms: int,
    ) -> tuple[list[UpstreamState], list[UpstreamState]]:
        """Return the first sound upstreams, and those passed over."""
        sound: list[UpstreamState] = []
        paused: list[UpstreamState] = []
        for state in self._allowed(request, now_ms):
            is_paused = state.ejected_until_ms > now_ms
            (paused if is_paused else sound).append(state)
            if len(sound) == _CHOICES:
                break
        return sound, paused

    def _allowed(
        self,
        request: PlacementRequest,
        now_ms: int,
    ) -> Iterator[UpstreamState]:
        order = self._order.of_key(
            request.service,
            request.key,
            near_first=request.route.kind is RequestKind.UPLOAD,
        )
        for state in order:
            if request.admits(state) and self._keeps_pace(state, now_ms):
                yield state

    def _keeps_pace(self, state: UpstreamState, now_ms: int) -> bool:
        if not state.is_cold(now_ms):
            return True
        rules = self.rules.get(state.upstream.service)
        return rules is not None and self._pace.allows(state, rules)

    def _best(
        self,
        request: PlacementRequest,
        choices: list[UpstreamState],
        now_ms: int,
    ) -> Placed | None:
        usual_ms = self.speed(request.service).usual_ms
        fill = _URGENT_FILL if request.is_urgent else _OTHER_FILL
        best: Placed | None = None
        for rank, state in enumerate(choices):
            if state.load(now_ms) >= state.upstream.slots * fill:
                continue
            is_warm = state.is_warm(request.key, now_ms)
            cost_ms = (
                self._cost.total_ms(state, now_ms, usual_ms)
                + self._cost.way_ms(state, request.route)
                + self._cost.object_ms(rank, usual_ms, is_warm=is_warm)
            )
            if best is None or cost_ms < best.cost_ms:
                best = Placed(state, _reason(rank), cost_ms)
        return best

    def _in_time(
        self,
        request: PlacementRequest,
        best: Placed | None,
        choices: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        usual_ms = self.speed(request.service).usual_ms
        if best is None:
            shortest_ms = min(
                self._cost.wait_ms(state, now_ms, usual_ms) for state in choices
            )
            return NotPlaced(NoRoomReason.ALL_FULL, _bounded(shortest_ms / 2))
        wait_ms = self._cost.wait_ms(best.state, now_ms, usual_ms)
        if wait_ms + usual_ms / 2 > request.remaining_ms:
            return NotPlaced(NoRoomReason.TOO_LATE, _bounded(wait_ms / 2))
        return best

    def _without_sound(
        self,
        request: PlacementRequest,
        paused: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        """Try the upstream whose pause ends first, one request at a time."""
        if not paused:
            return NotPlaced(NoRoomReason.NO_UPSTREAM, _NO_UPSTREAM_RETRY_MS)
        first = min(paused, key=_pause_end)
        if first.in_flight:
            pause_ms = first.ejected_until_ms - now_ms
            return NotPlaced(NoRoomReason.NO_UPSTREAM, _bounded(pause_ms))
        usual_ms = self.speed(request.service).usual_ms
        cost_ms = self._cost.total_ms(first, now_ms, usual_ms)
        return Placed(first, ChoiceReason.LAST_RESORT, cost_ms)


def _pause_end(state: UpstreamState) -> int:
    return state.ejected_until_ms


def _reason(rank: int) -> ChoiceReason:
    return ChoiceReason.SECOND if rank else ChoiceReason.FIRST


def _bounded(wait_ms: float) -> float:
    return min(max(wait_ms, _SHORTEST_RETRY_MS), _LONGEST_RETRY_MS)
