"""Exchange of one request and its response on a client connection."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import final

import attrs

from catkindrift.http1._client_connection import ClientConnection
from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._headers import Headers, encode_head
from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._response_head import ResponseHead


@final
@attrs.define(eq=False, repr=False)
class Exchange:
    """Sends a caller's request to an upstream and receives the response.

    Args:
        request: The request; its body may still be arriving.
        connection: Connection without another request in flight.
        matches_request: Whether a response head belongs to the request.
        max_body_bytes: Most body bytes to send to the upstream; None for no
            limit.
    """

    request: CallerRequest
    connection: ClientConnection
    _matches_request: Callable[[ResponseHead], bool]
    _max_body_bytes: int | None = None
    receiver: ResponseReceiver = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the receiver of the response."""
        self.receiver = ResponseReceiver(
            self._matches_request,
            self.connection.resume_reading,
        )

    def send_head(self, target: bytes, headers: Headers) -> None:
        """Send the request head.

        Args:
            target: Request target.
            headers: All headers except those of the framing, which are
                appended.
        """
        method = self.request.method
        headers = [*headers, *_framing_headers(self.request)]
        self.connection.expect_response(
            self.receiver,
            is_head_request=method == b'HEAD',
        )
        first_line = b'%b %b HTTP/1.1' % (method, target)
        self.connection.write(encode_head(first_line, headers))

    async def send_until(self, arrived: Awaitable[None]) -> None:
        """Send the body as it arrives, until the response has arrived.

        If the response arrives before the whole body was sent, the connection
        is not reused: the peer would take the next request for the rest of
        the body.

        Args:
            arrived: Completes when enough of the response has arrived.
        """
        if self.request.body.is_empty:
            await arrived
            return
        sender = asyncio.get_running_loop().create_task(self._send_body())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._stop_sending, sender)
            await arrived

    async def _stop_sending(self, sender: asyncio.Task[None]) -> None:
        if not sender.done():
            self.connection.disable_reuse()
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sender

    async def _send_body(self) -> None:
        body = self.request.body
        for index in itertools.count():
            chunk = await body.read_chunk(index)
            if chunk is None:
                break
            if self._is_too_large(body.received_bytes):
                self.receiver.fail(ResponseFailure.REQUEST_TOO_LARGE)
                return
            self.connection.write(
                _encode_chunk(chunk, is_chunked=body.is_chunked)
            )
            await self.connection.wait_writable()
        if body.is_chunked:
            self.connection.write(b'0\r\n\r\n')

    def _is_too_large(self, received_bytes: int) -> bool:
        limit = self._max_body_bytes
        return limit is not None and received_bytes > limit


def _framing_headers(request: CallerRequest) -> Headers:
    if request.body.is_chunked:
        return [(b'Transfer-Encoding', b'chunked')]
    if request.header(b'content-length'):
        return [(b'Content-Length', b'%d' % request.body.length)]
    return []


def _encode_chunk(chunk: bytes, *, is_chunked: bool) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk) if is_chunked else chunk
