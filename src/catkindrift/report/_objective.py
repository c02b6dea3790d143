"""Service-level objectives."""

from typing import final

import attrs


@final
@attrs.frozen
class Objective:
    """Service-level objective of a service.

    Args:
        service: Name of the service.
        availability: Fraction of requests that get a response of the
            service.
        latency_ms: Time in which a response should be complete.
        latency_part: Fraction of responses that are complete in that time.
        drain_time_s: Time from the confirmation of a drain until the VM has
            no more requests.
    """

    service: str = attrs.field(validator=attrs.validators.min_len(1))
    availability: float = attrs.field(
        default=0.999,
        validator=[attrs.validators.gt(0), attrs.validators.lt(1)],
    )
    latency_ms: int = attrs.field(
        default=1000,
        validator=attrs.validators.ge(1),
    )
    latency_part: float = attrs.field(
        default=0.99,
        validator=[attrs.validators.gt(0), attrs.validators.lt(1)],
    )
    drain_time_s: int = attrs.field(
        default=300,
        validator=attrs.validators.ge(1),
    )


@final
@attrs.frozen
class Objectives:
    """Contents of an objectives file.

    Args:
        objectives: Objectives, one table for each service.
    """

    objectives: tuple[Objective, ...] = attrs.field(
        validator=attrs.validators.min_len(1),
    )
