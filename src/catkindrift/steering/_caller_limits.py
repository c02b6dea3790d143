"""What callers may send and how long they may take."""

from typing import final

import attrs


@final
@attrs.frozen
class CallerLimits:
    """Limits on one caller's connection.

    The defaults hold until the first configuration is known.

    Args:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_ms: Time for a request head to arrive.
        idle_timeout_ms: Time for which a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: int = 5000
    idle_timeout_ms: int = 15_000
