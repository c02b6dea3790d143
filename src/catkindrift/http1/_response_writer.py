"""Writer of responses to a caller's connection."""

import asyncio
import contextlib
import select
import socket
import struct
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.http1._headers import Headers, encode_head
from catkindrift.http1._response import Response

# Turns the close of a socket into a reset: on, with a time of 0 s.
_NO_LINGER = struct.pack('ii', 1, 0)


@final
@attrs.define(eq=False, repr=False)
class ResponseWriter:
    """Writes responses, framed so that the caller sees where they end."""

    _transport: asyncio.Transport | None = attrs.field(init=False, default=None)
    _writable: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport that responses are written to."""
        self._transport = transport
        self._writable.set()

    def detach(self) -> None:
        """Discard all further writes after the connection is lost."""
        self._transport = None
        self._writable.set()

    def pause(self) -> None:
        """Pause writing while the send buffer is full."""
        self._writable.clear()

    def resume(self) -> None:
        """Resume writing."""
        self._writable.set()

    def pause_reading(self) -> None:
        """Pause reading from the caller."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the caller."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether written bytes wait for the caller to read."""
        transport = self._transport
        return transport is not None and bool(transport.get_write_buffer_size())

    def finish(self) -> bool:
        """Send buffered data and the end of the stream; go on reading.

        Returns:
            Whether the connection closes once the caller has closed it; False
            if this side has to close it.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        if not transport.can_write_eof():
            return False
        # The caller may have reset the connection.
        with contextlib.suppress(OSError):
            transport.write_eof()
        return True

    def close(self, *, unless_unread: bool = False) -> None:
        """Close the connection after buffered data is sent.

        Args:
            unless_unread: Whether to leave it open if the caller has sent
                what is not read yet.
        """
        if self._transport is None:
            return
        if not unless_unread or not _has_unread_bytes(self._transport):
            self._transport.close()

    def send_continue(self) -> None:
        """Send 100 Continue, so that the caller sends the request body."""
        if self._transport:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    async def send(
        self,
        response: Response,
        method: bytes,
        *,
        closes: bool,
        takes_chunks: bool = True,
    ) -> bool:
        """Write a response.

        Args:
            response: The response.
            method: Method of the request; a response to HEAD has no body.
            closes: Whether the connection closes after the response.
            takes_chunks: Whether the caller can read a chunked response. A
                body of unknown length ends with the connection otherwise.

        Returns:
            Whether it is whole. If its body ended early, the connection has to
            close, so that the caller cannot take it for a complete one.
        """
        is_chunked = takes_chunks and _needs_chunks(response)
        headers = [*response.headers, *_framing_headers(response)]
        if is_chunked:
            headers.append((b'Transfer-Encoding', b'chunked'))
        if closes:
            headers.append((b'Connection', b'close'))
        head = encode_head(response.status_line, headers)
        if method == b'HEAD':
            await self._write(head)
        elif response.body_stream is None:
            await self._write(head + response.body)
        else:
            await self._write(head)
            return await self._write_stream(response, is_chunked=is_chunked)
        return True

    async def _write_stream(
        self, response: Response, *, is_chunked: bool
    ) -> bool:
        await self._write(_encode_chunk(response.body, is_chunked=is_chunked))
        try:
            await self._copy_stream(response, is_chunked=is_chunked)
        except BrokenAnswerError:
            is_framed = is_chunked or response.length is not None
            if self._transport and not is_framed:
                _reset(self._transport)
            return False
        if is_chunked:
            await self._write(b'0\r\n\r\n')
        return True

    async def _copy_stream(
        self, response: Response, *, is_chunked: bool
    ) -> None:
        if response.body_stream is None:
            return
        async for chunk in response.body_stream:
            await self._write(_encode_chunk(chunk, is_chunked=is_chunked))

    async def _write(self, encoded: bytes) -> None:
        if self._transport and encoded:
            self._transport.write(encoded)
        await self._writable.wait()


def _has_unread_bytes(transport: asyncio.Transport) -> bool:
    if transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poller.poll(0))


def _reset(transport: asyncio.Transport) -> None:
    """Reset a connection; its close would make the body look complete."""
    with contextlib.suppress(OSError):
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
        )
    transport.abort()


def _needs_chunks(response: Response) -> bool:
    is_streamed = response.body_stream is not None
    has_body = response.status != HTTPStatus.NO_CONTENT
    return is_streamed and has_body and response.length is None


def _framing_headers(response: Response) -> Headers:
    if response.status == HTTPStatus.NO_CONTENT:
        return []
    if response.body_stream is None:
        length = response.length if response.length else len(response.body)
        return [(b'Content-Length', b'%d' % length)]
    if response.length is None:
        return []
    return [(b'Content-Length', b'%d' % response.length)]


def _encode_chunk(chunk: bytes, *, is_chunked: bool) -> bytes:
    if is_chunked and chunk:
        return b'%x\r\n%b\r\n' % (len(chunk), chunk)
    return chunk
