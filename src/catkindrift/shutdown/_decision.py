"""Decisions on requests during a shutdown."""

from typing import final

import attrs


@final
@attrs.frozen
class Accepted:
    """The request may be sent to an upstream.

    Args:
        due_ms: When its response is due, in the milliseconds of the clock;
            not after the end of the shutdown.
    """

    due_ms: int


@final
@attrs.frozen
class Refused:
    """The request may not be sent, since it might not end in time.

    Args:
        left_ms: Milliseconds until the end of the shutdown; 0 after it.
    """

    left_ms: int


Decision = Accepted | Refused
