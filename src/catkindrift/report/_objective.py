"""Service-level objectives."""

from typing import final

import attrs


@final
@attrs.frozen
class Objective:
    """What a service promises its callers.

    Args:
        service: The service.
        availability: Part of requests that get an answer of the service.
        latency_ms: Time within which an answer is complete.
        latency_part: Part of answers that are complete in that time.
        drain_time_s: Time from confirmation until a drained VM is empty.
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
    """An objectives file.

    Args:
        objectives: One table for each service.
    """

    objectives: tuple[Objective, ...] = attrs.field(
        validator=attrs.validators.min_len(1),
    )
