"""Look-up from client addresses to availability zones."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.domain import Zone

_UNKNOWN = -1
_ADDRESSES = int(ipaddress.IPv4Address('255.255.255.255')) + 1
_OUTSIDE = (_ADDRESSES, _UNKNOWN)


@final
@attrs.define
class BlockTable:
    """Finds the availability zone of an IPv4 client address.

    Blocks are kept as disjoint ranges in two compact arrays: the first address
    of each range, and the index of its zone. A nested block wins over the one
    around it.

    Args:
        starts: First address of each range, rising.
        zone_indexes: Zone of each range, -1 for none.
        zone_names: Names by index.
    """

    _starts: 'array[int]'
    _zone_indexes: 'array[int]'
    _zone_names: tuple[str, ...]

    @classmethod
    def build(cls, zones: Iterable[Zone]) -> 'BlockTable':
        """Return the table of all blocks of `zones`."""
        ordered = tuple(zones)
        networks = [
            pair
            for number, zone in enumerate(ordered)
            for pair in _numbered(zone, number)
        ]
        starts = array('I')
        indexes = array('h')
        for start, index in _flatten(networks):
            starts.append(start)
            indexes.append(index)
        return cls(starts, indexes, tuple(zone.name for zone in ordered))

    def zone_of(self, address: str) -> str:
        """Return the zone name of an address or block, empty when unknown.

        Args:
            address: IPv4 address, or a block of which the first address
                counts.

        Raises:
            ValueError: The text is no IPv4 address or block.
        """
        number = int(ipaddress.IPv4Address(address.partition('/')[0]))
        position = bisect_right(self._starts, number) - 1
        if position < 0 or self._zone_indexes[position] == _UNKNOWN:
            return ''
        return self._zone_names[self._zone_indexes[position]]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)


def _numbered(
    zone: Zone,
    number: int,
) -> list[tuple[ipaddress.IPv4Network, int]]:
    return [(ipaddress.IPv4Network(block), number) for block in zone.blocks]


def _flatten(
    networks: list[tuple[ipaddress.IPv4Network, int]],
) -> list[tuple[int, int]]:
    """Return disjoint ranges as pairs of first address and zone index."""
    ranges: dict[int, int] = {}
    open_blocks: list[tuple[int, int]] = []
    for network, index in sorted(networks, key=_outer_first):
        first = int(network.network_address)
        _close_blocks(ranges, open_blocks, first)
        ranges[first] = index
        open_blocks.append((first + network.num_addresses, index))
    _close_blocks(ranges, open_blocks, _ADDRESSES)
    return sorted(ranges.items())


def _outer_first(
    entry: tuple[ipaddress.IPv4Network, int],
) -> tuple[int, int]:
    network = entry[0]
    return int(network.network_address), network.prefixlen


def _close_blocks(
    ranges: dict[int, int],
    open_blocks: list[tuple[int, int]],
    upto: int,
) -> None:
    """End the blocks that stop at or before `upto`; their parents go on."""
    while open_blocks and open_blocks[-1][0] <= upto:
        end, _ = open_blocks.pop()
        parent_end, parent = open_blocks[-1] if open_blocks else _OUTSIDE
        if end < min(parent_end, _ADDRESSES):
            ranges[end] = parent
