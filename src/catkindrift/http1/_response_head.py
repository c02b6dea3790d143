"""Heads of responses from upstreams."""

from typing import final

import attrs

from catkindrift.http1._headers import Headers


@final
@attrs.frozen
class ResponseHead:
    """Status and headers of a response.

    Args:
        status: Status code.
        headers: Names and values as received.
    """

    status: int
    headers: Headers
