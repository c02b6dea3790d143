"""Division of each zone's requests among the zones that have upstreams."""

from collections.abc import Iterable, Mapping
from typing import Final, final

import attrs

# Shares below this are rounding errors.
_MIN_SHARE: Final = 1e-9


@final
@attrs.frozen
class ZoneCapacity:
    """Upstreams of one service in one zone.

    Args:
        zone: Name of the zone.
        region: Region of the zone.
        slots: Slots of the upstreams that may get requests.
        upstreams: Number of these upstreams.
    """

    zone: str
    region: str
    slots: int
    upstreams: int


@final
@attrs.define(eq=False, repr=False)
class ZoneShares:
    """Divides requests so that every slot gets the same number of them.

    Every zone is taken to have the same demand, since that is what all entry
    VMs know alike. Requests run in the zone in which they arrive as far as it
    has the slots for them and its upstreams can hold the objects, then in its
    region, then in all regions in proportion to the room that is left.

    Args:
        zones: All zones, also those without upstreams.
        objects: Number of objects that are requested.
        remembered: Number of objects that one upstream caches.
    """

    _zones: tuple[ZoneCapacity, ...]
    _objects: int
    _remembered: int
    _room: dict[str, float] = attrs.field(init=False, factory=dict)
    _left: dict[str, float] = attrs.field(init=False, factory=dict)
    _sent: dict[str, dict[str, float]] = attrs.field(init=False, factory=dict)

    def compute(self) -> Mapping[str, Mapping[str, float]]:
        """Return the share of each zone's requests by the zone that runs them.

        The shares of one zone add up to 1, unless no zone has upstreams.
        """
        total = sum(each.slots for each in self._zones) or 1
        demand = 1 / len(self._zones)
        self._room = {each.zone: each.slots / total for each in self._zones}
        self._left = {each.zone: demand for each in self._zones}
        self._sent = {each.zone: {} for each in self._zones}
        self._keep_in_zones(demand)
        self._keep_in_regions(demand)
        self._spread({each.zone: self._zones for each in self._zones})
        return {
            zone: {
                target: amount / demand
                for target, amount in sent.items()
                if amount > _MIN_SHARE
            }
            for zone, sent in self._sent.items()
        }

    def _keep_in_zones(self, demand: float) -> None:
        for each in self._zones:
            kept = min(demand, self._room[each.zone])
            if self._can_hold((each,), kept / demand):
                self._move(each.zone, each.zone, kept)

    def _keep_in_regions(self, demand: float) -> None:
        """Divide what zones cannot run within those regions that can hold it.

        A region that holds the objects only once is one pool for its zones.
        """
        targets: dict[str, tuple[ZoneCapacity, ...]] = {}
        for each in self._zones:
            region = self._of_region(each.region)
            room = sum(self._room[near.zone] for near in region)
            left = sum(self._left[near.zone] for near in region)
            kept = min(1, room / left) if left > 0 else 0
            if self._can_hold(region, kept * self._left[each.zone] / demand):
                targets[each.zone] = region
        self._spread(targets)

    def _can_hold(
        self, zones: Iterable[ZoneCapacity], object_share: float
    ) -> bool:
        capacity = sum(each.upstreams for each in zones) * self._remembered
        return self._objects * object_share <= capacity

    def _of_region(self, region: str) -> tuple[ZoneCapacity, ...]:
        return tuple(each for each in self._zones if each.region == region)

    def _spread(self, targets: Mapping[str, tuple[ZoneCapacity, ...]]) -> None:
        """Move what is left of zones to their targets, in proportion to room.

        Zones with the same targets are moved together, so that their order
        makes no difference.
        """
        sources: dict[tuple[ZoneCapacity, ...], list[str]] = {}
        for zone, receivers in targets.items():
            sources.setdefault(receivers, []).append(zone)
        for receivers, zones in sources.items():
            self._spread_over(zones, [each.zone for each in receivers])

    def _spread_over(self, sources: list[str], targets: list[str]) -> None:
        room = {target: self._room[target] for target in targets}
        available = sum(room.values())
        left = sum(self._left[source] for source in sources)
        if available <= _MIN_SHARE or left <= _MIN_SHARE:
            return
        fraction = min(1, available / left)
        for source in sources:
            moved = self._left[source] * fraction
            for target, free in room.items():
                self._move(source, target, moved * free / available)

    def _move(self, source: str, target: str, amount: float) -> None:
        sent = self._sent[source]
        sent[target] = sent.get(target, 0) + amount
        self._left[source] -= amount
        self._room[target] -= amount
