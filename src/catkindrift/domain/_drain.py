"""A VM or availability zone that must become empty."""

import enum
from typing import final

import attrs


@final
class DrainScope(enum.StrEnum):
    """What a drain empties."""

    VM = 'vm'
    ZONE = 'zone'


@final
@attrs.frozen
class Drain:
    """A drain in force.

    Args:
        scope: Whether `target` names a VM or an availability zone.
        target: Name of what must become empty.
    """

    scope: DrainScope
    target: str
