"""Size limits and timeouts of caller connections."""

from typing import final

import attrs


@final
@attrs.frozen
class CallerLimits:
    """Limits on one caller connection.

    The defaults apply until the first configuration has been loaded.

    Args:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a request body.
        header_timeout_ms: Timeout for receiving the request headers.
        idle_timeout_ms: Timeout of an idle connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: int = 5000
    idle_timeout_ms: int = 15_000
