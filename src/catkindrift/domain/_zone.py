"""Availability zones and the client blocks nearest to them."""

import ipaddress
from typing import final

import attrs

_NAME_PATTERN = r'[a-z][a-z0-9-]{0,62}'


def _check_block(
    _instance: object,
    _attribute: 'attrs.Attribute[tuple[str, ...]]',
    blocks: tuple[str, ...],
) -> None:
    for block in blocks:
        ipaddress.IPv4Network(block)


@final
@attrs.frozen
class Zone:
    """An availability zone of a region.

    Args:
        name: Unique name.
        region: Region that the availability zone belongs to.
        blocks: IPv4 client blocks in CIDR notation that are nearest to this
            zone.
    """

    name: str = attrs.field(
        validator=attrs.validators.matches_re(_NAME_PATTERN)
    )
    region: str = attrs.field(
        validator=attrs.validators.matches_re(_NAME_PATTERN)
    )
    blocks: tuple[str, ...] = attrs.field(default=(), validator=_check_block)
