"""Requests that the server receives."""

from typing import final

import attrs

from catkindrift.http1._headers import Headers, find_header
from catkindrift.http1._request_body import RequestBody


@final
@attrs.frozen(eq=False)
class CallerRequest:
    """A request of a caller.

    Args:
        method: HTTP method.
        target: Path and query, as received.
        path: Path of the target, without the query.
        query: Query of the target, without the question mark.
        headers: Names and values as received.
        body: The body, which may still be arriving.
        arrived_ms: Time at which the head was complete.
        caller: IP address of the caller.
        takes_chunks: Whether the caller can read a chunked response.
    """

    method: bytes
    target: bytes
    path: str
    query: bytes
    headers: Headers
    body: RequestBody
    arrived_ms: int
    caller: str
    takes_chunks: bool = True

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes.

        Args:
            name: Name in lower case.
        """
        return find_header(self.headers, name)
