"""Number of upstreams that a request may be placed on, by locality."""

from typing import Final, final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._locality import Locality
from catkindrift.steering._placement_request import PlacementRequest
from catkindrift.steering._upstream_state import UpstreamState

# Each upstream beyond these has to load the object, which takes longer than a
# short wait.
_FEWEST: Final = 2
# All that the order places before upstreams of last choice.
_MOST: Final = 7
# Load relative to the slots at which an upstream is taken to be full, so that
# a request may leave its zone. It is the lowest fill limit of placement.
_FULL: Final = 1.75


@final
@attrs.define(eq=False, repr=False)
class LocalChoices:
    """Extends the choice of an object while its upstreams are full.

    Args:
        clock: Source of time.
        locality: Zones in which requests run.
    """

    _clock: Clock
    _locality: Locality

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

    def record_choice(
        self, choices: list[UpstreamState], chosen: UpstreamState
    ) -> None:
        """Count a placed request if it left its region."""
        if chosen.upstream.region != choices[0].upstream.region:
            self._locality.gate.record_move(self._clock.now_ms())

    def _are_full(self, choices: list[UpstreamState], fill: float) -> bool:
        now_ms = self._clock.now_ms()
        return all(
            state.load(now_ms) >= state.upstream.slots * fill
            for state in choices
        )
