"""Number of upstreams that a request may be placed on, by locality."""

import random
from collections.abc import Callable
from typing import Final, final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._locality import Locality
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._placement_result import Placed
from catkindrift.steering._sent_requests import SentRequests
from catkindrift.steering._upstream import Upstream
from catkindrift.steering._upstream_state import UpstreamState

# Each upstream beyond these has to load the object, which takes longer than a
# short wait.
_FEWEST: Final = 3
# All that the order places before upstreams of last choice.
_MOST: Final = 7
# Load relative to the slots at which an upstream is taken to be full, so that
# a request may leave its zone. It is the lowest fill limit of placement.
_FULL: Final = 1.75
# Cost of sending an upstream twice the mean of its zone, relative to the
# average latency. At 4 the busiest of 144 upstreams got 1.325 times the mean
# at 129 VMs (benchmarks/even_load.py, seed 1), over the target of 1.3.
_GAIN: Final = 6.0
# Options count as alike if their costs differ by less than this part of the
# average latency.
_CLOSE: Final = 0.1
# Weight of an upstream without free slots.
_MIN_ROOM: Final = 0.1


@final
@attrs.define(eq=False, repr=False)
class LocalChoices:
    """Extends the choice of an object while its upstreams are full.

    Args:
        clock: Source of time.
        locality: Zones in which requests run.
        random: Source of random numbers that differs between entry VMs.
        has_idle: Returns whether an idle connection to an upstream is open.
    """

    _clock: Clock
    _locality: Locality
    _random: random.Random
    _has_idle: Callable[[Upstream], bool]
    _sent: SentRequests = attrs.field(init=False, factory=SentRequests)

    def is_enough(self, choices: list[UpstreamState]) -> bool:
        """Return whether no further upstream needs to be considered.

        Args:
            choices: Upstreams considered so far, in order of preference.
        """
        if len(choices) < _FEWEST:
            return False
        return len(choices) >= _MOST or not self._are_full(choices, 1)

    def admits(
        self, choices: list[UpstreamState], state: UpstreamState
    ) -> bool:
        """Return whether an upstream may be considered in addition.

        Other zones are considered once the planned one is full, other regions
        only as gradually as the gate allows.

        Args:
            choices: Upstreams considered so far, in order of preference.
            state: The next upstream.
        """
        if not choices:
            return True
        first = choices[0].upstream
        if state.upstream.zone == first.zone:
            return True
        if not self._are_full(choices, _FULL):
            return False
        is_moved = state.upstream.region != first.region
        gate = self._locality.gate
        return not is_moved or gate.allows(self._clock.now_ms())

    def record_request(self, request: PlacementRequest) -> None:
        """Record that an object has been requested."""
        now_ms = self._clock.now_ms()
        self._locality.objects.record(request.service, request.key, now_ms)
        self._locality.gate.record_request(now_ms)
        self._sent.forget_old(now_ms)

    def pick(self, options: list[Placed], average_ms: float) -> Placed:
        """Return one of the cheapest options, considering evenness.

        Among options of about the same cost the choice is random in
        proportion to their free slots, so that entry VMs with the same news
        don't choose the same upstream. Those with an idle connection come
        first, since opening one costs a round trip.

        Args:
            options: Upstreams with their expected costs; not empty.
            average_ms: Average latency of the service.
        """
        costs_ms = [
            option.cost_ms + self._excess(option.state) * average_ms * _GAIN
            for option in options
        ]
        limit_ms = min(costs_ms) + average_ms * _CLOSE
        close = [
            option
            for option, cost_ms in zip(options, costs_ms, strict=True)
            if cost_ms <= limit_ms
        ]
        close = [
            option for option in close if self._has_idle(option.state.upstream)
        ] or close
        rooms = [self._room(option.state) for option in close]
        return self._random.choices(close, rooms)[0]

    def record_choice(
        self, choices: list[UpstreamState], chosen: UpstreamState
    ) -> None:
        """Count a placed request if it left its region."""
        self._sent.record(chosen.upstream, self._clock.now_ms())
        if chosen.upstream.region != choices[0].upstream.region:
            self._locality.gate.record_move(self._clock.now_ms())

    def _excess(self, state: UpstreamState) -> float:
        upstream = state.upstream
        count = self._locality.upstream_count(upstream.service, upstream.zone)
        return self._sent.excess(upstream, count, self._clock.now_ms())

    def _room(self, state: UpstreamState) -> float:
        """Return the free slots, at least a small part of one."""
        load = state.load(self._clock.now_ms())
        return max(_MIN_ROOM, state.upstream.slots - load)

    def _are_full(self, choices: list[UpstreamState], fill: float) -> bool:
        now_ms = self._clock.now_ms()
        return all(
            state.load(now_ms) >= state.upstream.slots * fill
            for state in choices
        )
