"""Result of the placement of a request."""

import enum
from typing import final

import attrs

from catkindrift.steering._upstream_state import UpstreamState


@final
class ChoiceReason(enum.Enum):
    """Why an upstream was chosen."""

    FIRST = 'first'
    SECOND = 'second'
    LAST_RESORT = 'last_resort'


@final
class NotPlacedReason(enum.Enum):
    """Why no upstream was chosen."""

    NO_UPSTREAM = 'no_upstream'
    ALL_FULL = 'all_full'
    LIMITED = 'limited'
    TOO_LATE = 'too_late'
    QUARANTINED = 'quarantined'
    SUSPECT_RUNS = 'suspect_runs'


@final
@attrs.frozen
class Placed:
    """Upstream chosen for a request.

    Args:
        state: State of the upstream.
        reason: Why it was chosen.
        cost_ms: Expected time to the response plus the costs of transfer and
            of a cache miss.
    """

    state: UpstreamState
    reason: ChoiceReason
    cost_ms: float


@final
@attrs.frozen
class NotPlaced:
    """Refusal of a request that no upstream can serve in time.

    Args:
        reason: Why no upstream was chosen.
        retry_after_ms: Time after which the caller may retry.
        queue_wait_ms: Expected time until an upstream of the object has a
            free slot, if all were full.
    """

    reason: NotPlacedReason
    retry_after_ms: float
    queue_wait_ms: float = 0
