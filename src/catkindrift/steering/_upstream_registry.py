"""All upstreams that are known."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._upstream import Upstream
from catkindrift.steering._upstream_state import UpstreamState


@final
@attrs.define(eq=False)
class UpstreamRegistry:
    """Upstreams by id and by service; facts never go back to older ones.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    epoch: int = attrs.field(init=False, default=0)
    evacuated_zones: frozenset[str] = attrs.field(
        init=False,
        default=frozenset(),
    )
    _states: dict[str, UpstreamState] = attrs.field(init=False, factory=dict)
    _by_service: dict[str, list[UpstreamState]] = attrs.field(
        init=False,
        factory=dict,
    )
    _is_loaded: bool = attrs.field(init=False, default=False)

    @property
    def ids(self) -> frozenset[str]:
        """Return the ids of all known upstreams."""
        return frozenset(self._states)

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service, leaving ones too."""
        return self._by_service.get(service, [])

    def find(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream by its id, if it is known."""
        return self._states.get(upstream_id)

    def is_eligible(self, state: UpstreamState) -> bool:
        """Return whether an upstream may be given work at all."""
        upstream = state.upstream
        if upstream.is_draining or upstream.id not in self._states:
            return False
        return upstream.zone not in self.evacuated_zones

    def put(self, upstream: Upstream, cold_start_ms: int) -> None:
        """Add an upstream or newer facts about it.

        Args:
            upstream: Its facts.
            cold_start_ms: Time for which one that newly appears is cold.
        """
        now_ms = self._clock.now_ms()
        known = self._states.get(upstream.id)
        if known is None:
            self._add(upstream, now_ms, cold_start_ms)
        elif upstream.revision > known.upstream.revision:
            known.upstream = upstream
            self._mark_cold(known, upstream.cold_remaining_ms)
        self._rebuild_index()

    def remove(self, upstream_id: str) -> None:
        """Forget an upstream that has left."""
        if self._states.pop(upstream_id, None):
            self._rebuild_index()

    def mark_loaded(self) -> None:
        """Note that the first whole list is known.

        Upstreams that appear later have just started, whatever they say.
        """
        self._is_loaded = True

    def update_evacuated_zones(
        self, zones: Iterable[str], cold_start_ms: int
    ) -> None:
        """Set the zones that get nothing.

        Upstreams of a zone that is taken back may be cold.
        """
        wanted = frozenset(zones)
        returned = self.evacuated_zones - wanted
        for state in self._states.values():
            if state.upstream.zone in returned:
                self._mark_cold(state, cold_start_ms)
        self.evacuated_zones = wanted
        self._rebuild_index()

    def _add(self, upstream: Upstream, now_ms: int, cold_start_ms: int) -> None:
        state = UpstreamState(upstream, now_ms)
        self._states[upstream.id] = state
        cold_ms = upstream.cold_remaining_ms
        if self._is_loaded:
            cold_ms = max(cold_ms, cold_start_ms)
        self._mark_cold(state, cold_ms)

    def _mark_cold(self, state: UpstreamState, cold_ms: int) -> None:
        if cold_ms > 0:
            until_ms = self._clock.now_ms() + cold_ms
            state.cold_until_ms = max(state.cold_until_ms, until_ms)

    def _rebuild_index(self) -> None:
        self.epoch += 1
        by_service: dict[str, list[UpstreamState]] = {}
        for state in self._states.values():
            by_service.setdefault(state.upstream.service, []).append(state)
        self._by_service = by_service
