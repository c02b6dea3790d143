"""Ordered lists of entry VMs for lookups by callers."""

from collections.abc import Iterable
from typing import final

import attrs
import xxhash

from catkindrift.domain import Configuration, Vm
from catkindrift.rendezvous import rendezvous_order

_MAX_ENTRIES = 4
_BUCKETS_PER_ZONE = 64


@final
@attrs.define
class EntryDirectory:
    """Returns the entry VMs that a caller should try, in order.

    Client blocks are hashed into a fixed number of buckets per zone. Each
    bucket has its own order of the zone's entry VMs by rendezvous hashing, so
    the callers of a failed entry VM spread over all others. The list of a
    bucket is computed on first use and cached.

    Args:
        by_zone: Entry VMs that accept new callers, by availability zone.
        regions: Region of each availability zone.
    """

    _by_zone: dict[str, tuple[Vm, ...]]
    _regions: dict[str, str]
    _entries_by_bucket: dict[tuple[str, int], tuple[Vm, ...]] = attrs.field(
        init=False,
        factory=dict,
        eq=False,
    )
    _zones_by_distance: dict[str, tuple[str, ...]] = attrs.field(
        init=False,
        factory=dict,
        eq=False,
    )

    @classmethod
    def build(
        cls,
        entry_vms: Iterable[Vm],
        configuration: Configuration,
    ) -> 'EntryDirectory':
        """Build the directory.

        Args:
            entry_vms: Entry VMs that accept new callers.
            configuration: Configuration that names the region of each zone.
        """
        by_zone: dict[str, tuple[Vm, ...]] = {}
        for vm in entry_vms:
            by_zone[vm.zone] = (*by_zone.get(vm.zone, ()), vm)
        regions = {zone.name: zone.region for zone in configuration.zones}
        return cls(by_zone, regions)

    def entries(self, zone: str, block: str) -> tuple[Vm, ...]:
        """Return the entry VMs for a client block, nearest first.

        Args:
            zone: Availability zone of the block.
            block: Client block; its hash decides the order within a zone.

        Returns:
            At most four entry VMs; farther zones are included only when the
            nearer ones have fewer.
        """
        bucket = xxhash.xxh3_64_intdigest(block.encode()) % _BUCKETS_PER_ZONE
        key = (zone, bucket)
        cached = self._entries_by_bucket.get(key)
        if cached is None:
            cached = self._rank_entries(zone, bucket)
            self._entries_by_bucket[key] = cached
        return cached

    def _rank_entries(self, zone: str, bucket: int) -> tuple[Vm, ...]:
        ordered: list[Vm] = []
        for near_zone in self._nearest_zones(zone):
            by_name = {vm.name: vm for vm in self._by_zone[near_zone]}
            names = rendezvous_order(str(bucket), by_name)
            ordered.extend(by_name[name] for name in names)
            if len(ordered) >= _MAX_ENTRIES:
                break
        return tuple(ordered[:_MAX_ENTRIES])

    def _nearest_zones(self, zone: str) -> tuple[str, ...]:
        """Return the zones with entry VMs: `zone`, its region, then others."""
        cached = self._zones_by_distance.get(zone)
        if cached is None:
            region = self._regions.get(zone, '')
            shuffled = rendezvous_order(zone, self._by_zone)
            cached = tuple(
                sorted(
                    shuffled,
                    key=lambda other: (
                        other != zone,
                        self._regions.get(other) != region,
                    ),
                ),
            )
            self._zones_by_distance[zone] = cached
        return cached
