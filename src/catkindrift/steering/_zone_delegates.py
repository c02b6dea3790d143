"""Entry VMs that exchange what two availability zones know."""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import final

import attrs

from catkindrift.rendezvous import rendezvous_order
from catkindrift.steering._heartbeat import MemberFacts

# Names of the VMs of a zone by the hash of the name, and of the process.
_Order = tuple[list[str], list[str]]
# Two, so that one that has ended costs no exchange of the other.
_DELEGATES = 2
# A VM of a zone is told by four others twice a second; a sign of life that is
# older means that it is silent, and the next in the order takes over.
_SILENT_MS = 1500


@final
@attrs.define(eq=False, repr=False)
class ZoneDelegates:
    """Decides for which other zones this VM sends digests of its own zone.

    Of each pair of zones two VMs send: the first by the hash of the name, and
    the first of the others by the hash of the process. A restart therefore
    moves at most one of the roles.

    Args:
        own: Facts about this VM.
    """

    _own: MemberFacts
    _known: tuple[tuple[str, int], ...] = attrs.field(init=False, default=())
    _orders: dict[str, _Order] = attrs.field(init=False, factory=dict)

    def zones(
        self, zone_vms: Sequence[tuple[MemberFacts, int]], others: Iterable[str]
    ) -> list[str]:
        """Return the zones to which this VM sends digests now.

        Args:
            zone_vms: VMs of the own zone that are alive, and the ages of their
                newest signs of life in milliseconds.
            others: Names of the other zones.
        """
        own = self._own
        zone_vms = sorted(zone_vms, key=lambda each: each[0].name)
        known = tuple((each.name, each.started_ms) for each, _ in zone_vms)
        if known != self._known:
            self._known = known
            self._orders.clear()
        heard = {
            each.name: age_ms < _SILENT_MS for each, age_ms in zone_vms
        } | {own.name: True}
        return [
            zone for zone in others if own.name in self._chosen(zone, heard)
        ]

    def _chosen(self, zone: str, heard: Mapping[str, bool]) -> list[str]:
        by_name, by_process = self._order(zone)
        first = list(itertools.islice(filter(heard.__getitem__, by_name), 1))
        rest = (
            name for name in by_process if heard[name] and name not in first
        )
        return first + list(itertools.islice(rest, _DELEGATES - len(first)))

    def _order(self, zone: str) -> _Order:
        found = self._orders.get(zone)
        if found is None:
            own = (self._own.name, self._own.started_ms)
            started_ms = dict((*self._known, own))
            processes = {
                f'{name}/{begun_ms}': name
                for name, begun_ms in started_ms.items()
            }
            found = (
                rendezvous_order(zone, started_ms),
                [processes[each] for each in rendezvous_order(zone, processes)],
            )
            self._orders[zone] = found
        return found
