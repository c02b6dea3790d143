"""Whole messages to one server, and its whole answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import final

import attrs

from catkindrift.errors import AnswerTooLargeError
from catkindrift.http1._client_connection import ClientConnection
from catkindrift.http1._headers import encode_head
from catkindrift.http1._receiver import ResponseReceiver

# Answers are whole pages of a megabyte at most, plus their frame.
_MAX_RESPONSE_BYTES = 2_097_152
# A connect takes a round trip; behind a cut it would wait for long.
_CONNECT_TIMEOUT_S = 0.8
# Silence in the middle of an answer; a large one takes longer on a slow link,
# but never stops for that long.
_CHUNK_TIMEOUT_S = 1.0


def _ignore_chunk() -> None:
    """Take no note of parts."""


@final
@attrs.define(eq=False)
class HttpClient:
    """Calls one server; one connection serves one call at a time.

    A connection that failed in any way is not used again.

    Args:
        host: IP number of the server.
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
    ) -> tuple[int, bytes]:
        """Send a message and return status and body of the answer.

        Args:
            method: HTTP method.
            path: Request target.
            body: JSON, or nothing.
            timeout_s: Longest wait for the first part of the answer.
            on_chunk: Called for each part of the answer that arrives.

        Raises:
            AnswerTooLargeError: It is larger than any page should be.
            OSError: There was no whole answer.
        """
        async with self._connection() as connection:
            receiver = ResponseReceiver(_accept_any, connection.resume_reading)
            connection.expect_response(receiver)
            connection.write(self._encode_request(method, path, body))
            content = await _read_body(receiver, timeout_s, on_chunk)
        if receiver.head is None or not receiver.is_complete:
            raise ConnectionResetError('the server broke off')
        return receiver.head.status, content

    def close(self) -> None:
        """Close the connections that are idle."""
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
    """Return the body, or what has come of it when it ends early.

    Parts are taken as they arrive: the connection reads no more than its
    buffer holds.
    """
    content = bytearray()
    chunk_timeout_s = timeout_s
    while not receiver.has_ended:
        async with asyncio.timeout(chunk_timeout_s):
            await receiver.wait_for_body(1)
        on_chunk()
        content += receiver.take_buffered()
        chunk_timeout_s = _CHUNK_TIMEOUT_S
        if len(content) > _MAX_RESPONSE_BYTES:
            raise AnswerTooLargeError(
                f'over {_MAX_RESPONSE_BYTES} bytes; ask for less at a time',
            )
    return bytes(content)


def _accept_any(_head: object) -> bool:
    return True
