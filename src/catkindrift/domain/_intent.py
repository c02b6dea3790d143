"""Intents: the changes that an operator requests."""

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
        source_region: Region that the traffic leaves.
        target_region: Region that receives the traffic.
        cap_per_second: Maximum number of requests moved in any window of
            one second.
        percent: Percentage of the source region's requests to move.
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
    """Drain a VM or an availability zone.

    Args:
        drain: The drain to put in force.
    """

    drain: Drain


@final
@attrs.frozen
class BringBackIntent:
    """Put a drained VM or availability zone back in service, or end a shift.

    Args:
        target: Name of the VM, availability zone or shift.
    """

    target: str


Intent = ShiftIntent | DrainIntent | BringBackIntent
