"""Placement of a request on an upstream."""

from collections.abc import Iterator, Mapping
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._candidate_order import CandidateOrder
from catkindrift.steering._cold_rate_limiter import ColdRateLimiter
from catkindrift.steering._cost import CostModel
from catkindrift.steering._local_choices import LocalChoices
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._placement_result import (
    ChoiceReason,
    NotPlaced,
    NotPlacedReason,
    Placed,
)
from catkindrift.steering._request_kind import RequestKind
from catkindrift.steering._service_latency import ServiceLatency
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.steering._upstream_limits import UpstreamLimits
from catkindrift.steering._upstream_state import UpstreamState

# Number of upstreams that an object is placed on. Another one would have to
# load the object, which takes longer than a short wait for one of these.
_MAX_CHOICES = 2
# Load relative to the slots at which an upstream counts as full. It keeps the
# wait in the queue near the time that one request takes.
_URGENT_MAX_FILL = 2.25
_DEFAULT_MAX_FILL = 1.75
# Bounds of the Retry-After time of a refused request.
_MIN_RETRY_AFTER_MS = 100.0
_MAX_RETRY_AFTER_MS = 1000.0
# Retry-After time when no upstream is up; one usually returns within seconds.
_NO_UPSTREAM_RETRY_AFTER_MS = 500.0


@final
@attrs.define(eq=False, repr=False)
class Placement:
    """Chooses the upstream with the lowest expected cost.

    Args:
        clock: Source of time.
        order: Preference order of upstreams for an object.
        cost: Cost model by which upstreams are compared.
        cold_limiter: Rate limit on requests to cold upstreams.
        limits: Limits that upstreams name.
        local: Extends choices zone by zone; None if all zones are alike.
        rules: Rules by name of the service.
    """

    _clock: Clock
    _order: CandidateOrder
    _cost: CostModel
    _cold_limiter: ColdRateLimiter
    _limits: UpstreamLimits
    _local: LocalChoices | None = None
    rules: Mapping[str, ServiceRules] = attrs.field(init=False, factory=dict)
    _latencies: dict[str, ServiceLatency] = attrs.field(
        init=False, factory=dict
    )

    def latency(self, service: str) -> ServiceLatency:
        """Return the average latency of a service."""
        return self._latencies.setdefault(service, ServiceLatency())

    def choose(self, request: PlacementRequest) -> Placed | NotPlaced:
        """Return the best upstream, or the reason why there is none."""
        now_ms = self._clock.now_ms()
        if self._local:
            self._local.record_request(request)
        choices, ejected = self._healthy_and_ejected(request, now_ms)
        if not choices:
            return self._last_resort(request, ejected, now_ms)
        best = self._cheapest(request, choices, now_ms)
        if self._local and best:
            self._local.record_choice(choices, best.state)
        return self._check_deadline(request, best, choices, now_ms)

    def _healthy_and_ejected(
        self,
        request: PlacementRequest,
        now_ms: int,
    ) -> tuple[list[UpstreamState], list[UpstreamState]]:
        """Return the first healthy upstreams, and the ejected ones skipped."""
        healthy: list[UpstreamState] = []
        ejected: list[UpstreamState] = []
        for state in self._candidates(request, now_ms):
            if state.ejected_until_ms > now_ms:
                ejected.append(state)
            elif self._may_add(state, healthy):
                healthy.append(state)
            if self._is_enough(healthy):
                break
        return healthy, ejected

    def _may_add(
        self, state: UpstreamState, choices: list[UpstreamState]
    ) -> bool:
        return self._local is None or self._local.admits(choices, state)

    def _is_enough(self, choices: list[UpstreamState]) -> bool:
        if self._local:
            return self._local.is_enough(choices)
        return len(choices) == _MAX_CHOICES

    def _candidates(
        self,
        request: PlacementRequest,
        now_ms: int,
    ) -> Iterator[UpstreamState]:
        for state in self._admitted(request):
            is_paused = state.paused_until_ms > now_ms
            is_limited = self._limits.wait_ms(state.upstream.incarnation) > 0
            if (
                not is_paused
                and not is_limited
                and self._within_cold_rate(state, now_ms)
            ):
                yield state

    def _admitted(self, request: PlacementRequest) -> Iterator[UpstreamState]:
        order = self._order.order_for_key(
            request.service,
            request.key,
            near_first=request.route.kind is RequestKind.UPLOAD,
        )
        return filter(request.admits, order)

    def _within_cold_rate(self, state: UpstreamState, now_ms: int) -> bool:
        if not state.is_cold(now_ms):
            return True
        rules = self.rules.get(state.upstream.service)
        return rules is not None and self._cold_limiter.allows(state, rules)

    def _cheapest(
        self,
        request: PlacementRequest,
        choices: list[UpstreamState],
        now_ms: int,
    ) -> Placed | None:
        average_ms = self.latency(request.service).average_ms
        max_fill = request.max_fill or usual_max_fill(request)
        options: list[Placed] = []
        for rank, state in enumerate(choices):
            if state.load(now_ms) >= state.upstream.slots * max_fill:
                continue
            is_warm = state.is_warm(request.key, now_ms)
            cost_ms = (
                self._cost.total_ms(state, now_ms, average_ms)
                + self._cost.transfer_ms(state, request.route)
                + self._cost.cache_miss_ms(rank, average_ms, is_warm=is_warm)
            )
            options.append(Placed(state, _choice_reason(rank), cost_ms))
        if self._local and options:
            return self._local.pick(options, average_ms)
        return min(options, key=_cost_ms, default=None)

    def _check_deadline(
        self,
        request: PlacementRequest,
        best: Placed | None,
        choices: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        average_ms = self.latency(request.service).average_ms
        if best is None:
            shortest_ms = min(
                self._cost.queue_wait_ms(state, now_ms, average_ms)
                for state in choices
            )
            return NotPlaced(
                NotPlacedReason.ALL_FULL,
                _retry_after_ms(shortest_ms / 2),
                shortest_ms,
            )
        wait_ms = self._cost.queue_wait_ms(best.state, now_ms, average_ms)
        if wait_ms + average_ms / 2 > request.remaining_ms:
            return NotPlaced(
                NotPlacedReason.TOO_LATE, _retry_after_ms(wait_ms / 2)
            )
        return best

    def _last_resort(
        self,
        request: PlacementRequest,
        ejected: list[UpstreamState],
        now_ms: int,
    ) -> Placed | NotPlaced:
        """Choose the upstream whose ejection ends first.

        It gets one request at a time.
        """
        if not ejected:
            return self._refuse_without_upstream(request, now_ms)
        first = min(ejected, key=_ejection_end)
        if first.in_flight:
            ejection_ms = first.ejected_until_ms - now_ms
            return NotPlaced(
                NotPlacedReason.NO_UPSTREAM, _retry_after_ms(ejection_ms)
            )
        average_ms = self.latency(request.service).average_ms
        cost_ms = self._cost.total_ms(first, now_ms, average_ms)
        return Placed(first, ChoiceReason.LAST_RESORT, cost_ms)

    def _refuse_without_upstream(
        self, request: PlacementRequest, now_ms: int
    ) -> NotPlaced:
        waits_ms = [
            max(
                self._limits.retry_after_ms(state.upstream.incarnation),
                state.paused_until_ms - now_ms,
                0,
            )
            for state in self._admitted(request)
        ]
        limited_ms = min(filter(None, waits_ms), default=None)
        if limited_ms is None:
            return NotPlaced(
                NotPlacedReason.NO_UPSTREAM, _NO_UPSTREAM_RETRY_AFTER_MS
            )
        return NotPlaced(NotPlacedReason.LIMITED, limited_ms)


def _cost_ms(option: Placed) -> float:
    return option.cost_ms


def usual_max_fill(request: PlacementRequest) -> float:
    """Return the fill at which an upstream counts as full for a request."""
    return _URGENT_MAX_FILL if request.is_urgent else _DEFAULT_MAX_FILL


def _ejection_end(state: UpstreamState) -> int:
    return state.ejected_until_ms


def _choice_reason(rank: int) -> ChoiceReason:
    return ChoiceReason.SECOND if rank else ChoiceReason.FIRST


def _retry_after_ms(wait_ms: float) -> float:
    return min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
