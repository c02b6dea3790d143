"""What an entry VM has seen of the limit of an upstream."""

from typing import final

import attrs


@final
@attrs.frozen
class LimitNotice:
    """Limit in the newest response of an upstream to one entry VM.

    Args:
        incarnation: Incarnation of the upstream.
        per_second: Requests per second that it takes from all entry VMs
            together; None if it no longer names a limit.
        age_ms: Time since the response.
    """

    incarnation: str
    per_second: float | None
    age_ms: int
