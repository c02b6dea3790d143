"""Responses that the server sends."""

import http
from typing import Protocol, Self, final

import attrs

from catkindrift.http1._headers import Headers


class BodyStream(Protocol):
    """Asynchronous iterator over the remaining chunks of a response body."""

    def __aiter__(self) -> Self:
        """Return itself."""

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises:
            BrokenAnswerError: The body ended early.
        """

    def close(self) -> None:
        """Stop receiving the chunks that were not read."""


@final
@attrs.frozen(eq=False)
class Response:
    """A response to one request.

    Args:
        status: Status code.
        headers: Headers without Content-Length and Transfer-Encoding.
        body: The whole body, or its first bytes if there is a stream.
        length: Length of the whole body in bytes. None means the length of
            `body`, or with a stream that it is not known in advance.
        body_stream: Further chunks of the body; None if `body` is all of it.
        closes_connection: Whether the connection closes after the response.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    length: int | None = None
    body_stream: BodyStream | None = None
    closes_connection: bool = False

    @property
    def status_line(self) -> bytes:
        """Return the status line without its line end."""
        return b'HTTP/1.1 %d %b' % (self.status, _reason(self.status))

    def close(self) -> None:
        """Close the body stream, if there is one."""
        if self.body_stream:
            self.body_stream.close()


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
