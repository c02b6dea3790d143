"""Choice of the zone in which the requests for an object run."""

from collections.abc import Container, Mapping
from typing import Final, final

import attrs

from catkindrift.clock import Clock
from catkindrift.rendezvous import weighted_choice
from catkindrift.steering._recent_objects import RecentObjects
from catkindrift.steering._region_shift import OverflowGate, step_shares
from catkindrift.steering._upstream_registry import UpstreamRegistry
from catkindrift.steering._zone_shares import ZoneCapacity, ZoneShares

# Interval at which shares move towards their target; each step recomputes the
# zones of all objects.
_STEP_MS: Final = 500
# A VM without requests takes no larger step when the next one arrives.
_MAX_STEP_MS: Final = 2000


@final
@attrs.define
class _ServiceShares:
    """Shares of the own zone's requests for one service, by zone.

    Args:
        shares: Present shares.
        at_ms: Time at which they were set.
        counts: Number of upstreams by zone.
        version: Number that increases whenever they change.
    """

    shares: Mapping[str, float]
    at_ms: int
    counts: Mapping[str, int]
    version: int = 0


@final
@attrs.define(eq=False, repr=False)
class Locality:
    """Keeps requests in their zone or region where these have the capacity.

    All entry VMs of a zone compute the same shares from the registry, and the
    same zone for each object from these.

    Args:
        clock: Source of time.
        registry: All known upstreams.
        own_zone: Zone of this entry VM.
        regions: Region by name of the zone.
        remembered: Number of objects that one upstream caches.
        objects: Objects that callers have requested lately.
        gate: Bound on requests that leave full upstreams for other regions.
    """

    _clock: Clock
    _registry: UpstreamRegistry
    _own_zone: str
    _regions: Mapping[str, str]
    _remembered: int
    objects: RecentObjects = attrs.field(init=False, factory=RecentObjects)
    gate: OverflowGate = attrs.field(init=False, factory=OverflowGate)
    _services: dict[str, _ServiceShares] = attrs.field(init=False, factory=dict)

    def version(self, service: str) -> int:
        """Return a number that increases when objects change their zone."""
        return self._current(service).version

    def zone_for(
        self, service: str, key: str, available: Container[str]
    ) -> str:
        """Return the zone in which the requests for an object run.

        Args:
            service: Name of the service.
            key: Key of the requested object.
            available: Zones that have upstreams.
        """
        shares = {
            zone: share
            for zone, share in self._current(service).shares.items()
            if zone in available
        }
        return weighted_choice(key, shares) if shares else self._own_zone

    def upstream_count(self, service: str, zone: str) -> int:
        """Return the number of a service's upstreams in a zone."""
        return self._current(service).counts.get(zone, 0)

    def tier(self, zone: str, planned_zone: str) -> int:
        """Return how far an upstream's zone is from the planned one.

        Returns:
            0 for the planned zone, 1 for the own zone, 2 for the own region
            and 3 for all others.
        """
        if zone == planned_zone:
            return 0
        if zone == self._own_zone:
            return 1
        own_region = self._regions.get(self._own_zone)
        return 2 if self._regions.get(zone) == own_region else 3

    def _current(self, service: str) -> _ServiceShares:
        now_ms = self._clock.now_ms()
        known = self._services.get(service)
        if known is None:
            zones = self._capacities(service)
            known = _ServiceShares(
                self._target(service, zones), now_ms, _counts(zones)
            )
            self._services[service] = known
        elapsed_ms = now_ms - known.at_ms
        if elapsed_ms >= _STEP_MS:
            zones = self._capacities(service)
            known.counts = _counts(zones)
            shares = step_shares(
                known.shares,
                self._target(service, zones),
                self._regions,
                min(elapsed_ms, _MAX_STEP_MS),
            )
            known.version += shares != known.shares
            known.shares = shares
            known.at_ms = now_ms
        return known

    def _capacities(self, service: str) -> tuple[ZoneCapacity, ...]:
        slots = dict.fromkeys(self._regions, 0)
        counts = dict.fromkeys(self._regions, 0)
        for state in self._registry.of_service(service):
            zone = state.upstream.zone
            if zone in slots and self._registry.is_eligible(state):
                slots[zone] += state.upstream.slots
                counts[zone] += 1
        return tuple(
            ZoneCapacity(name, region, slots[name], counts[name])
            for name, region in sorted(self._regions.items())
        )

    def _target(
        self, service: str, zones: tuple[ZoneCapacity, ...]
    ) -> Mapping[str, float]:
        shares = ZoneShares(
            zones, self.objects.count(service), self._remembered
        )
        return shares.compute().get(self._own_zone, {})


def _counts(zones: tuple[ZoneCapacity, ...]) -> dict[str, int]:
    return {each.zone: each.upstreams for each in zones}
