"""What a caller is answered."""

import http
from collections.abc import AsyncIterator
from typing import final

import attrs

from catkindrift.http1._headers import Headers


@final
@attrs.frozen(eq=False)
class Answer:
    """An answer to one request.

    Args:
        status: Status code.
        headers: Headers but for those that frame the body.
        body: The whole body, or its first part.
        length: Length of the whole body, where it is known before.
        rest: Further parts, if the body is longer. It raises
            `BrokenAnswerError` when the rest will not come.
        closes: Whether the connection ends after it.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    length: int | None = None
    rest: AsyncIterator[bytes] | None = None
    closes: bool = False

    @property
    def status_line(self) -> bytes:
        """Return the first line of the answer."""
        return b'HTTP/1.1 %d %b' % (self.status, _reason(self.status))


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
