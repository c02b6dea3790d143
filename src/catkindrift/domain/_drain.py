"""A drain of a VM or an availability zone."""

import enum
from typing import final

import attrs


@final
class DrainScope(enum.StrEnum):
    """What a drain applies to."""

    VM = 'vm'
    ZONE = 'zone'


@final
@attrs.frozen
class Drain:
    """A VM or availability zone that gets no new work, so that it empties.

    Args:
        scope: Whether `target` names a VM or an availability zone.
        target: Name of the drained VM or availability zone.
    """

    scope: DrainScope
    target: str
