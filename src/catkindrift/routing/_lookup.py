"""Answers to callers that ask which entry VMs to use."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.domain import Configuration, Vm
from catkindrift.routing._rendezvous import rendezvous_order

_MAX_ENTRIES = 4


@final
@attrs.frozen
class LookupAnswer:
    """Entry VMs for a client block, best first.

    Args:
        zone: Availability zone of the block, empty when unknown.
        entries: Entry VMs in the order in which to try them.
        lifetime_ms: How long the answer may be used.
    """

    zone: str
    entries: tuple[Vm, ...]
    lifetime_ms: int


def order_entries(
    entry_vms: Iterable[Vm],
    configuration: Configuration,
    zone: str,
    block: str,
) -> tuple[Vm, ...]:
    """Return entry VMs for a client block, nearest first.

    The block's own zone comes first, then its region, then other regions.
    Within a zone, blocks are spread by rendezvous hashing, so that callers of
    a failed entry VM spread over all others.

    Args:
        entry_vms: Entry VMs that accept new callers.
        configuration: Gives regions and zones.
        zone: Availability zone of the block, empty when unknown.
        block: Client block, decides the order within a zone.
    """
    region = configuration.region_of(zone)
    by_name = {vm.name: vm for vm in entry_vms}
    spread = rendezvous_order(block, by_name)
    ordered = sorted(
        (by_name[name] for name in spread),
        key=lambda vm: (
            vm.zone != zone,
            configuration.region_of(vm.zone) != region,
        ),
    )
    return tuple(ordered[:_MAX_ENTRIES])
