"""What a caller is answered."""

import http
from typing import Protocol, Self, final

import attrs

from catkindrift.http1._headers import Headers


class BodyStream(Protocol):
    """Further parts of an answer's body."""

    def __aiter__(self) -> Self:
        """Return itself."""

    async def __anext__(self) -> bytes:
        """Return the next part.

        Raises:
            BrokenAnswerError: The rest will not come.
        """

    def close(self) -> None:
        """Give up what has not been taken."""


@final
@attrs.frozen(eq=False)
class Response:
    """An answer to one request.

    Args:
        status: Status code.
        headers: Headers but for those that frame the body.
        body: The whole body, or its first part.
        length: Length of the whole body, where it is known before.
        rest: Further parts, if the body is longer.
        closes: Whether the connection ends after it.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    length: int | None = None
    body_stream: BodyStream | None = None
    closes_connection: bool = False

    @property
    def status_line(self) -> bytes:
        """Return the first line of the answer."""
        return b'HTTP/1.1 %d %b' % (self.status, _reason(self.status))

    def close(self) -> None:
        """Give up what has not been written."""
        if self.body_stream:
            self.body_stream.close()


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
