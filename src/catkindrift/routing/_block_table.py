"""Lookup of the availability zone of a client address."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.domain import Zone

_NO_ZONE = -1
_ADDRESS_COUNT = int(ipaddress.IPv4Address('255.255.255.255')) + 1
_NO_PARENT = (_ADDRESS_COUNT, _NO_ZONE)


@final
@attrs.define
class BlockTable:
    """Maps IPv4 client addresses to availability zones.

    CIDR blocks are flattened into disjoint ranges, stored in two compact
    arrays: the first address of each range, and the index of its zone. The
    most specific block that contains an address determines its zone.

    Args:
        starts: First address of each range, ascending.
        zone_indexes: Index of the zone of each range, -1 for none.
        zone_names: Zone names by index.
    """

    _starts: 'array[int]'
    _zone_indexes: 'array[int]'
    _zone_names: tuple[str, ...]

    @classmethod
    def build(cls, zones: Iterable[Zone]) -> 'BlockTable':
        """Build the table from the client blocks of `zones`."""
        ordered = tuple(zones)
        networks = [
            pair
            for zone_index, zone in enumerate(ordered)
            for pair in _indexed_networks(zone, zone_index)
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
            address: IPv4 address, or a CIDR block, which is looked up by
                its first address.

        Raises:
            ValueError: `address` is not an IPv4 address or block.
        """
        number = int(ipaddress.IPv4Address(address.partition('/')[0]))
        position = bisect_right(self._starts, number) - 1
        if position < 0 or self._zone_indexes[position] == _NO_ZONE:
            return ''
        return self._zone_names[self._zone_indexes[position]]

    def __len__(self) -> int:
        """Return the number of ranges."""
        return len(self._starts)


def _indexed_networks(
    zone: Zone,
    zone_index: int,
) -> list[tuple[ipaddress.IPv4Network, int]]:
    return [(ipaddress.IPv4Network(block), zone_index) for block in zone.blocks]


def _flatten(
    networks: list[tuple[ipaddress.IPv4Network, int]],
) -> list[tuple[int, int]]:
    """Return disjoint ranges as pairs of first address and zone index.

    The networks are visited by address, outer before nested ones, with a
    stack of the blocks that contain the current address.
    """
    ranges: dict[int, int] = {}
    open_blocks: list[tuple[int, int]] = []
    for network, index in sorted(networks, key=_nesting_order):
        first = int(network.network_address)
        _close_blocks(ranges, open_blocks, first)
        ranges[first] = index
        open_blocks.append((first + network.num_addresses, index))
    _close_blocks(ranges, open_blocks, _ADDRESS_COUNT)
    return sorted(ranges.items())


def _nesting_order(
    entry: tuple[ipaddress.IPv4Network, int],
) -> tuple[int, int]:
    network = entry[0]
    return int(network.network_address), network.prefixlen


def _close_blocks(
    ranges: dict[int, int],
    open_blocks: list[tuple[int, int]],
    limit: int,
) -> None:
    """Pop the blocks that end by `limit` and resume the enclosing ones."""
    while open_blocks and open_blocks[-1][0] <= limit:
        end, _ = open_blocks.pop()
        parent_end, parent = open_blocks[-1] if open_blocks else _NO_PARENT
        if end < min(parent_end, _ADDRESS_COUNT):
            ranges[end] = parent
