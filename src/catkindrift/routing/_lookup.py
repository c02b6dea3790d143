"""What a caller that looks up a block is told."""

from typing import final

import attrs

from catkindrift.domain import Vm
from catkindrift.routing._block_table import BlockTable
from catkindrift.routing._directory import EntryDirectory


@final
@attrs.frozen
class LookupResult:
    """Entry VMs for a client block, best first.

    Args:
        zone: Availability zone of the block, empty when unknown.
        entries: Entry VMs in the order in which to try them.
        lifetime_ms: How long the answer may be used.
    """

    zone: str
    entries: tuple[Vm, ...]
    lifetime_ms: int


@final
@attrs.frozen
class LookupTable:
    """All that look-ups need, published by the loop for server threads.

    Nobody changes a table that is published; a newer one replaces it.

    Args:
        blocks: Availability zones by client block.
        directory: Entry VMs by availability zone.
        own_zone: Zone that stands in for blocks of no known zone.
        lifetime_ms: How long callers may use an answer.
    """

    blocks: BlockTable
    directory: EntryDirectory
    own_zone: str
    lifetime_ms: int

    def look_up(self, block: str) -> LookupResult:
        """Return the entry VMs for a client address or block.

        Raises:
            ValueError: The text is no IPv4 address or block.
        """
        zone = self.blocks.zone_of(block)
        entries = self.directory.entries(zone or self.own_zone, block)
        return LookupResult(zone, entries, self.lifetime_ms)
