"""Keys under which answers are counted."""

from typing import final

import attrs


@final
@attrs.frozen
class ResponseKey:
    """Answers of upstreams.

    Args:
        service: The service.
        status_class: First digit of the HTTP status.
    """

    service: str
    status_class: int


@final
@attrs.frozen
class RefusalKey:
    """Requests without an answer of an upstream.

    Args:
        service: The service; empty when it is unknown.
        reason: Machine-readable reason.
        outcome: Whether the request surely did not run.
    """

    service: str
    reason: str
    outcome: str
