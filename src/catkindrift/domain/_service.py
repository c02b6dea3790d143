"""Services and their per-request limits."""

import enum
from typing import final

import attrs

_NAME_PATTERN = r'[a-z][a-z0-9-]{0,62}'


@final
class Measure(enum.StrEnum):
    """Objective of a service when an upstream is selected."""

    LATENCY = 'latency'
    DRAIN_TIME = 'drain_time'


@final
class Repeat(enum.StrEnum):
    """Whether write requests of a service may run more than once.

    Writes of an `UNSAFE` service are retried only when an attempt did not
    start; those of a `ONCE` service also need a claim before dispatch.
    """

    IDEMPOTENT = 'idempotent'
    UNSAFE = 'unsafe'
    ONCE = 'once'


@final
@attrs.frozen
class Service:
    """A service that callers use, and the limits of its requests.

    Args:
        name: Lower-case name, part of the request path of callers.
        measure: Objective when an upstream is selected.
        repeat: Whether writes may be repeated; reads always may.
        deadline_ms: Time limit of a request that does not set its own.
        queue_limit: Maximum number of requests queued in one entry VM.
        max_body_bytes: Largest accepted request body.
    """

    name: str = attrs.field(
        validator=attrs.validators.matches_re(_NAME_PATTERN)
    )
    measure: Measure = Measure.LATENCY
    repeat: Repeat = Repeat.UNSAFE
    deadline_ms: int = attrs.field(
        default=10_000, validator=attrs.validators.ge(1)
    )
    queue_limit: int = attrs.field(default=16, validator=attrs.validators.ge(0))
    max_body_bytes: int = attrs.field(
        default=1_000_000,
        validator=attrs.validators.ge(0),
    )
