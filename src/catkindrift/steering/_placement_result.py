"""What placement decides."""

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
    TOO_LATE = 'too_late'
    QUARANTINED = 'quarantined'
    SUSPECT_RUNS = 'suspect_runs'


@final
@attrs.frozen
class Placed:
    """An upstream was chosen.

    Args:
        state: The upstream.
        reason: Why it was chosen.
        cost_ms: Expected time until the answer.
    """

    state: UpstreamState
    reason: ChoiceReason
    cost_ms: float


@final
@attrs.frozen
class NotPlaced:
    """No upstream can serve the request in time.

    Args:
        reason: Why.
        retry_after_ms: When there may be room.
    """

    reason: NotPlacedReason
    retry_after_ms: float
