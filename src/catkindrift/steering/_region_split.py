"""Which part of a region's requests runs in which region."""

from collections.abc import Mapping
from typing import final

import attrs

# Use of a region's slots up to which its own requests stay at home. Above
# it, waiting costs callers more than the way to another region.
_TARGET_USE = 0.65


@final
@attrs.frozen
class RegionLoad:
    """Room and demand of one service in one region.

    Args:
        slots: Slots of upstreams that may be given work.
        demand: Slots that the requests arriving there would fill.
    """

    slots: float
    demand: float

    @property
    def spare(self) -> float:
        """Return the slots that other regions may fill."""
        return max(0, self.slots * _TARGET_USE - self.demand)

    @property
    def excess(self) -> float:
        """Return the demand that does not fit at home."""
        return max(0, self.demand - self.slots * _TARGET_USE)


def split_of(origin: str, loads: Mapping[str, RegionLoad]) -> dict[str, float]:
    """Return the share of requests from `origin` for each region.

    Home is preferred; what does not fit goes where room is spare. When all
    regions together are short, every region is filled alike.

    Args:
        origin: Region in which the requests arrive.
        loads: Room and demand of each region.
    """
    room = {region: load.slots for region, load in loads.items()}
    total_spare = sum(load.spare for load in loads.values())
    total_excess = sum(load.excess for load in loads.values())
    home = loads.get(origin, RegionLoad(0, 0))
    if total_excess > total_spare or home.demand <= 0:
        return _home_first(origin, room)
    leaving = home.excess / home.demand
    shares = {
        region: leaving * load.spare / total_spare if total_spare else 0.0
        for region, load in loads.items()
    }
    shares[origin] = 1 - leaving
    return shares


def step_towards(
    current: Mapping[str, float],
    wanted: Mapping[str, float],
    most: float,
) -> dict[str, float]:
    """Return shares between two splits, moving at most `most` in total."""
    regions = current.keys() | wanted.keys()
    change = {
        region: wanted.get(region, 0) - current.get(region, 0)
        for region in regions
    }
    moved = sum(part for part in change.values() if part > 0)
    scale = min(1, most / moved) if moved else 0
    return {
        region: current.get(region, 0) + scale * change[region]
        for region in sorted(regions)
    }


def _home_first(origin: str, room: Mapping[str, float]) -> dict[str, float]:
    """Split as if each region had the same demand."""
    total = sum(room.values())
    if not total:
        return {origin: 1.0}
    even = total / len(room)
    home = min(1.0, room.get(origin, 0) / even)
    spare = {
        region: max(0.0, slots - even)
        for region, slots in room.items()
        if region != origin
    }
    total_spare = sum(spare.values())
    if not total_spare:
        return {origin: 1.0}
    shares = {
        region: (1 - home) * part / total_spare
        for region, part in spare.items()
    }
    shares[origin] = home
    return shares
