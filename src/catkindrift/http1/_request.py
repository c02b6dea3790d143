"""A request of a caller."""

from typing import final

import attrs

from catkindrift.http1._headers import Headers, find_header
from catkindrift.http1._request_body import RequestBody


@final
@attrs.frozen(eq=False)
class CallerRequest:
    """Head and body of one request.

    Args:
        method: HTTP method.
        target: Request target as it came.
        path: Its path, without the query.
        query: Its query, without the question mark.
        headers: Names and values as they came.
        body: The body, as it arrives.
        arrived_ms: When the head was complete.
        caller: IP number of the caller.
    """

    method: bytes
    target: bytes
    path: str
    query: bytes
    headers: Headers
    body: RequestBody
    arrived_ms: int
    caller: str

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or nothing."""
        return find_header(self.headers, name)
