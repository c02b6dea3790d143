"""Reasons why a response is incomplete."""

import enum
from typing import final


@final
class ResponseFailure(enum.Enum):
    """Reason why a response is incomplete.

    Attributes:
        CLOSED: The connection closed before the response head arrived.
        TRUNCATED: The connection closed before the body was complete.
        MALFORMED: The response is not valid HTTP, or consists of little but
            framing.
        REQUEST_TOO_LARGE: The request body exceeds the limit, so it was not
            sent whole.
    """

    CLOSED = 'closed'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    REQUEST_TOO_LARGE = 'request_too_large'
