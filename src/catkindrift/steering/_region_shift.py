"""Bound on how fast requests change the region in which they run."""

from collections.abc import Mapping
from typing import Final, final

import attrs

# Window and share of a region's requests that the platform states.
_WINDOW_MS: Final = 2000
REGION_SHIFT_LIMIT: Final = 0.15
# The plan and the overflow of full upstreams may move requests in the same
# window, so each gets half of the limit.
_HALF_LIMIT: Final = REGION_SHIFT_LIMIT / 2


def step_shares(
    present: Mapping[str, float],
    target: Mapping[str, float],
    regions: Mapping[str, str],
    elapsed_ms: int,
) -> Mapping[str, float]:
    """Return shares between `present` and `target`, as far as time allows.

    Args:
        present: Present share of the requests by zone.
        target: Share by zone to be reached.
        regions: Region by name of the zone.
        elapsed_ms: Time since `present` was set.
    """
    shift = _region_shift(present, target, regions)
    allowed = _HALF_LIMIT * elapsed_ms / _WINDOW_MS
    if shift <= allowed:
        return target
    fraction = allowed / shift
    return {
        zone: present.get(zone, 0)
        + fraction * (target.get(zone, 0) - present.get(zone, 0))
        for zone in _zones(present, target)
    }


def _zones(*shares: Mapping[str, float]) -> list[str]:
    return sorted(set().union(*shares))


def _region_shift(
    present: Mapping[str, float],
    target: Mapping[str, float],
    regions: Mapping[str, str],
) -> float:
    """Return the share of requests that change the region."""
    changes: dict[str, float] = {}
    for zone in _zones(present, target):
        region = regions.get(zone, '')
        change = target.get(zone, 0) - present.get(zone, 0)
        changes[region] = changes.get(region, 0) + change
    return sum(max(0, change) for change in changes.values())


@final
@attrs.define(eq=False, repr=False)
class OverflowGate:
    """Lets requests leave full upstreams for other regions, gradually.

    The share that leaves may grow by half of the limit from one window to the
    next; the plan of zones may use the other half.
    """

    _window: int = attrs.field(init=False, default=0)
    _count: int = attrs.field(init=False, default=0)
    _moved: int = attrs.field(init=False, default=0)
    _previous_count: int = attrs.field(init=False, default=0)
    _previous_moved: int = attrs.field(init=False, default=0)

    def allows(self, now_ms: int) -> bool:
        """Return whether one more request may change its region."""
        self._roll(now_ms)
        before = self._previous_moved / max(1, self._previous_count)
        allowed = (before + _HALF_LIMIT) * max(
            self._count, self._previous_count
        )
        return self._moved + 1 <= allowed

    def record_request(self, now_ms: int) -> None:
        """Count a request, whether or not it is placed."""
        self._roll(now_ms)
        self._count += 1

    def record_move(self, now_ms: int) -> None:
        """Count a request that is placed outside its planned region."""
        self._roll(now_ms)
        self._moved += 1

    def _roll(self, now_ms: int) -> None:
        window = now_ms // _WINDOW_MS
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous_count = self._count if is_next else 0
        self._previous_moved = self._moved if is_next else 0
        self._count = 0
        self._moved = 0
        self._window = window
