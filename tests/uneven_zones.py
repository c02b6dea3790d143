"""Zones of very different size, for tests and replays of even load."""

from types import MappingProxyType

REGIONS = MappingProxyType(
    {
        'a-1': 'a',
        'a-2': 'a',
        'b-1': 'b',
        'b-2': 'b',
        'c-1': 'c',
        'c-2': 'c',
    }
)
# Upstreams by zone, slots and objects of the large service of furrow, and the
# objects that an upstream of it caches (docs/design/hard-load.md).
UPSTREAMS = MappingProxyType(
    {'a-1': 7, 'a-2': 7, 'b-1': 30, 'b-2': 30, 'c-1': 35, 'c-2': 35}
)
SLOTS = 9
OBJECTS = tuple(f'object-{index}' for index in range(334))
REMEMBERED = 14
