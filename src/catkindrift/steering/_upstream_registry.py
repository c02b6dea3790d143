"""Registry of all known upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._kept_pauses import KeptPauses
from catkindrift.steering._upstream import Upstream
from catkindrift.steering._upstream_state import UpstreamState


@final
@attrs.define(eq=False, repr=False)
class UpstreamRegistry:
    """Upstreams by id and by service; older entries never replace newer ones.

    Args:
        clock: Source of time.
        epoch: Number that increases whenever an upstream or the evacuated
            zones change.
        evacuated_zones: Zones whose upstreams get no requests.
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
    _pauses: KeptPauses = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda registry: KeptPauses(registry._clock), takes_self=True
        ),
    )

    @property
    def ids(self) -> frozenset[str]:
        """Ids of all known upstreams."""
        return frozenset(self._states)

    @property
    def incarnations(self) -> frozenset[str]:
        """Present incarnations of all known upstreams."""
        return frozenset(
            state.upstream.incarnation for state in self._states.values()
        )

    @property
    def states(self) -> tuple[UpstreamState, ...]:
        """All known upstreams."""
        return tuple(self._states.values())

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service, including draining ones."""
        return self._by_service.get(service, [])

    def find(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream by its id, or None if it is unknown."""
        return self._states.get(upstream_id)

    def find_incarnation(self, incarnation: str) -> UpstreamState | None:
        """Return an upstream if its present start is `incarnation`."""
        upstream_id, _, _ = incarnation.partition('@')
        known = self._states.get(upstream_id)
        is_same = known and known.upstream.incarnation == incarnation
        return known if is_same else None

    def is_eligible(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests.

        Draining, suspended, removed and evacuated upstreams may not.
        """
        upstream = state.upstream
        is_usable = upstream.is_named and not upstream.is_draining
        if not is_usable or upstream.id not in self._states:
            return False
        return upstream.zone not in self.evacuated_zones

    def put(self, upstream: Upstream, cold_start_ms: int) -> None:
        """Add an upstream, or update it if `upstream` is newer.

        Nothing is kept of an incarnation that another one has replaced.

        Args:
            upstream: Entry of the upstream.
            cold_start_ms: Time for which an upstream is cold that appears
                after the first complete list.
        """
        now_ms = self._clock.now_ms()
        known = self._states.get(upstream.id)
        if known is None or _has_restarted(known.upstream, upstream):
            self._add(upstream, now_ms, cold_start_ms)
        elif upstream.revision > known.upstream.revision:
            known.upstream = upstream
            self._mark_cold(known, upstream.cold_remaining_ms)
        self._rebuild_index()

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream, if it is known.

        The pause that it asked for outlives its entry, which may return.
        """
        removed = self._states.pop(upstream_id, None)
        if removed:
            self._pauses.keep(removed)
            self._rebuild_index()

    def mark_loaded(self) -> None:
        """Mark the first complete list of upstreams as loaded.

        Upstreams that appear later have just started and count as cold even
        if their entry says otherwise.
        """
        self._is_loaded = True

    def update_evacuated_zones(
        self, zones: Iterable[str], cold_start_ms: int
    ) -> None:
        """Set the zones whose upstreams get no requests.

        Args:
            zones: All evacuated zones.
            cold_start_ms: Time for which the upstreams of a zone that is no
                longer evacuated count as cold.
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
        state.paused_until_ms = self._pauses.take(upstream.incarnation)
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


def _has_restarted(known: Upstream, newer: Upstream) -> bool:
    if newer.revision <= known.revision or not known.born_ms:
        return False
    return newer.born_ms not in {0, known.born_ms}
