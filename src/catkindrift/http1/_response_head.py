"""Status and headers of a response."""

from typing import final

import attrs

from catkindrift.http1._headers import Headers


@final
@attrs.frozen
class ResponseHead:
    """The head of a response that an upstream sent.

    Args:
        status: Status code.
        headers: Names and values as they came.
    """

    status: int
    headers: Headers
