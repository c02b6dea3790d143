"""Entry VMs by availability zone, for look-ups."""

from collections.abc import Iterable
from typing import final

import attrs
import xxhash

from catkindrift.domain import Configuration, Vm
from catkindrift.routing._rendezvous import rendezvous_order

_MAX_ENTRIES = 4
_SPREADS = 64


@final
@attrs.define
class EntryDirectory:
    """Answers look-ups from what is prepared once for each zone.

    Blocks of a zone are dealt to a fixed number of spreads; each spread has
    its own order of the zone's entry VMs by rendezvous hashing, so callers of
    a failed entry VM spread over all others.

    Args:
        by_zone: Entry VMs that accept new callers.
        regions: Region of each zone.
    """

    _by_zone: dict[str, tuple[Vm, ...]]
    _regions: dict[str, str]
    _answers: dict[tuple[str, int], tuple[Vm, ...]] = attrs.field(
        init=False,
        factory=dict,
        eq=False,
    )
    _nearest: dict[str, tuple[str, ...]] = attrs.field(
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
        """Return the directory of the entry VMs that accept callers."""
        by_zone: dict[str, tuple[Vm, ...]] = {}
        for vm in entry_vms:
            by_zone[vm.zone] = (*by_zone.get(vm.zone, ()), vm)
        regions = {zone.name: zone.region for zone in configuration.zones}
        return cls(by_zone, regions)

    def entries(self, zone: str, block: str) -> tuple[Vm, ...]:
        """Return entry VMs for a client block, nearest first.

        Args:
            zone: Availability zone of the block.
            block: Client block, decides the order within a zone.
        """
        spread = xxhash.xxh3_64_intdigest(block.encode()) % _SPREADS
        key = (zone, spread)
        known = self._answers.get(key)
        if known is None:
            known = self._order(zone, spread)
            self._answers[key] = known
        return known

    def _order(self, zone: str, spread: int) -> tuple[Vm, ...]:
        ordered: list[Vm] = []
        for near_zone in self._zones_from(zone):
            by_name = {vm.name: vm for vm in self._by_zone[near_zone]}
            names = rendezvous_order(str(spread), by_name)
            ordered.extend(by_name[name] for name in names)
            if len(ordered) >= _MAX_ENTRIES:
                break
        return tuple(ordered[:_MAX_ENTRIES])

    def _zones_from(self, zone: str) -> tuple[str, ...]:
        """Return zones with entry VMs, those of the own region first."""
        known = self._nearest.get(zone)
        if known is None:
            region = self._regions.get(zone, '')
            spread = rendezvous_order(zone, self._by_zone)
            known = tuple(
                sorted(
                    spread,
                    key=lambda other: (
                        other != zone,
                        self._regions.get(other) != region,
                    ),
                ),
            )
            self._nearest[zone] = known
        return known
