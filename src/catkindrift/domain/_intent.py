"""What an operator wants to happen."""

from typing import final

import attrs

from catkindrift.domain._drain import Drain

_PERCENT_MAX = 100


@final
@attrs.frozen
class ShiftIntent:
    """Move part of a service's traffic from one region to another.

    Args:
        service: Service whose traffic moves.
        source_region: Region to leave.
        target_region: Region that receives the traffic.
        percent: Part of the source's requests to move.
        cap_per_second: Most requests that may move in any one second.
    """

    service: str
    source_region: str
    target_region: str
    cap_per_second: int = attrs.field(validator=attrs.validators.ge(1))
    percent: int = attrs.field(
        default=_PERCENT_MAX,
        validator=[attrs.validators.ge(1), attrs.validators.le(_PERCENT_MAX)],
    )


@final
@attrs.frozen
class DrainIntent:
    """Empty a VM or an availability zone.

    Args:
        drain: What to empty.
    """

    drain: Drain


@final
@attrs.frozen
class BringBackIntent:
    """Return a drained VM or availability zone, or end a shift.

    Args:
        target: Name of the VM, availability zone or shift.
    """

    target: str


Intent = ShiftIntent | DrainIntent | BringBackIntent
