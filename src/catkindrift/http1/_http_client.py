"""HTTP client for small requests to one server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import final

import attrs

from catkindrift.errors import AnswerTooLargeError
from catkindrift.http1._client_connection import ClientConnection
from catkindrift.http1._headers import encode_head
from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._response_head import ResponseHead

# Responses are pages of at most one megabyte, plus the framing around them.
_MAX_RESPONSE_BYTES = 2_097_152
# A connect takes one round trip; during a partition it would hang.
_CONNECT_TIMEOUT_S = 0.8
# Longest wait between two chunks of a response. A large response takes longer
# than this on a slow link, but its chunks keep arriving.
_CHUNK_TIMEOUT_S = 1.0


def _ignore_chunk() -> None:
    """Ignore a chunk."""


@final
@attrs.define(eq=False, repr=False)
class HttpClient:
    """Sends requests to one server and buffers each whole response.

    A connection carries one request at a time and is not reused after any
    failure. After a timeout, those that are idle are not reused either: they
    may have fallen silent together.

    Args:
        host: IP address of the server.
        port: Its TCP port.
    """

    _host: str
    _port: int
    _idle: list[ClientConnection] = attrs.field(init=False, factory=list)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_chunk: Callable[[], None] = _ignore_chunk,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return the head and body of the response.

        Args:
            method: HTTP method.
            path: Request target.
            body: JSON, or empty.
            timeout_s: Timeout of the first chunk of the response in seconds.
            on_chunk: Called for each chunk of the response that arrives.

        Raises:
            AnswerTooLargeError: The response is larger than any page may be.
            OSError: The connection failed, or the response is incomplete
                or timed out.
        """
        async with self._connection() as connection:
            receiver = ResponseReceiver(_accept_any, connection.resume_reading)
            connection.expect_response(receiver)
            connection.write(self._encode_request(method, path, body))
            content = await _read_body(receiver, timeout_s, on_chunk)
        if receiver.head is None or not receiver.is_complete:
            raise ConnectionResetError(
                'the server closed the connection before the response ended'
            )
        return receiver.head, content

    def close(self) -> None:
        """Abort all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _encode_request(self, method: str, path: str, body: bytes) -> bytes:
        head = encode_head(
            f'{method} {path} HTTP/1.1'.encode(),
            [
                (b'Host', f'{self._host}:{self._port}'.encode()),
                (b'Content-Type', b'application/json'),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        return head + body

    @contextlib.asynccontextmanager
    async def _connection(self) -> AsyncIterator[ClientConnection]:
        connection = self._take_idle() or await self._connect()
        try:
            yield connection
        except TimeoutError:
            self.close()
            raise
        finally:
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                connection.abort()

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        return None

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                ClientConnection,
                self._host,
                self._port,
            )
        return connection


async def _read_body(
    receiver: ResponseReceiver,
    timeout_s: float,
    on_chunk: Callable[[], None],
) -> bytes:
    """Return the body, or the part received if it ended early.

    Chunks are taken as they arrive, because the connection pauses reading
    when its buffer is full.
    """
    content = bytearray()
    chunk_timeout_s = timeout_s
    while not receiver.has_ended:
        await _wait_for_chunk(receiver, chunk_timeout_s)
        on_chunk()
        content += receiver.take_buffered()
        chunk_timeout_s = _CHUNK_TIMEOUT_S
        if len(content) > _MAX_RESPONSE_BYTES:
            raise AnswerTooLargeError(
                f'response exceeds {_MAX_RESPONSE_BYTES} bytes; request less at'
                ' a time',
            )
    return bytes(content)


async def _wait_for_chunk(receiver: ResponseReceiver, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await receiver.wait_for_body(1)
    except TimeoutError:
        # After a stall of the process, the timeout runs before the bytes that
        # arrived meanwhile are taken.
        if not receiver.buffered_bytes and not receiver.has_ended:
            raise


def _accept_any(_head: object) -> bool:
    return True
