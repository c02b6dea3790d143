"""Keys of the response and refusal counters."""

from typing import final

import attrs


@final
@attrs.frozen
class ResponseKey:
    """Counter key of upstream responses.

    Args:
        service: Name of the service.
        status_class: First digit of the HTTP status.
    """

    service: str
    status_class: int


@final
@attrs.frozen
class RefusalKey:
    """Counter key of requests that ended without an upstream response.

    Args:
        service: Name of the service; empty if it is not configured.
        reason: Value of the `RefusalReason`.
        outcome: Value of the `Outcome`: not run, or unknown.
    """

    service: str
    reason: str
    outcome: str
