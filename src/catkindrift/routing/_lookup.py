"""Lookup of the entry VMs that a caller should use."""

from typing import final

import attrs

from catkindrift.domain import Vm
from catkindrift.routing._block_table import BlockTable
from catkindrift.routing._directory import EntryDirectory


@final
@attrs.frozen
class LookupResult:
    """Entry VMs for a client block.

    Args:
        zone: Availability zone of the block, empty when unknown.
        entries: Entry VMs in the order in which to try them.
        lifetime_ms: Time for which the caller may cache the result.
    """

    zone: str
    entries: tuple[Vm, ...]
    lifetime_ms: int


@final
@attrs.frozen
class LookupTable:
    """Snapshot from which server threads answer lookups.

    The event loop replaces a published snapshot instead of modifying it, so
    threads read it without locking.

    Args:
        blocks: Availability zones by client block.
        directory: Entry VMs by availability zone.
        own_zone: Zone to use for client blocks of unknown zone.
        lifetime_ms: Time for which callers may cache a result.
    """

    blocks: BlockTable
    directory: EntryDirectory
    own_zone: str
    lifetime_ms: int

    def look_up(self, block: str) -> LookupResult:
        """Return the entry VMs for a client address or block.

        Args:
            block: IPv4 address or CIDR block.

        Raises:
            ValueError: `block` is not an IPv4 address or block.
        """
        zone = self.blocks.zone_of(block)
        entries = self.directory.entries(zone or self.own_zone, block)
        return LookupResult(zone, entries, self.lifetime_ms)
