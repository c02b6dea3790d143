"""Why a response did not arrive."""

import enum
from typing import final


@final
class ResponseFailure(enum.Enum):
    """What became of a response that is not whole."""

    CLOSED = 'closed'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    REQUEST_TOO_LARGE = 'request_too_large'
