"""Writes answers to a caller's connection."""

import asyncio
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.http1._headers import Headers, encode_head
from catkindrift.http1._response import Response


@final
@attrs.define(eq=False)
class ResponseWriter:
    """Frames answers; one that breaks off never looks complete."""

    _transport: asyncio.Transport | None = attrs.field(init=False, default=None)
    _writable: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to a connection."""
        self._transport = transport
        self._writable.set()

    def detach(self) -> None:
        """Note that the connection is gone."""
        self._transport = None
        self._writable.set()

    def pause(self) -> None:
        """Hold back while the caller does not read."""
        self._writable.clear()

    def resume(self) -> None:
        """Go on."""
        self._writable.set()

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Close when all is written."""
        if self._transport:
            self._transport.close()

    def send_continue(self) -> None:
        """Let the caller send the body of its request."""
        if self._transport:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    async def send(
        self,
        answer: Response,
        method: bytes,
        *,
        closes: bool,
    ) -> None:
        """Write an answer.

        Args:
            answer: The answer.
            method: Method of the request, since HEAD has no body.
            closes: Whether the connection ends after it.
        """
        headers = [*answer.headers, *_framing_headers(answer)]
        if closes:
            headers.append((b'Connection', b'close'))
        head = encode_head(answer.status_line, headers)
        if method == b'HEAD':
            await self._write(head)
        elif answer.body_stream is None:
            await self._write(head + answer.body)
        else:
            await self._write(head)
            await self._write_parts(answer)

    async def _write_parts(self, answer: Response) -> None:
        is_chunked = answer.length is None
        await self._write(_encode_chunk(answer.body, is_chunked=is_chunked))
        try:
            await self._copy(answer, is_chunked=is_chunked)
        except BrokenAnswerError:
            if self._transport:
                self._transport.abort()
            return
        if is_chunked:
            await self._write(b'0\r\n\r\n')

    async def _copy(self, answer: Response, *, is_chunked: bool) -> None:
        if answer.body_stream is None:
            return
        async for part in answer.body_stream:
            await self._write(_encode_chunk(part, is_chunked=is_chunked))

    async def _write(self, chunk: bytes) -> None:
        if self._transport and chunk:
            self._transport.write(chunk)
        await self._writable.wait()


def _framing_headers(answer: Response) -> Headers:
    if answer.status == HTTPStatus.NO_CONTENT:
        return []
    if answer.body_stream is None:
        length = answer.length if answer.length else len(answer.body)
        return [(b'Content-Length', b'%d' % length)]
    if answer.length is None:
        return [(b'Transfer-Encoding', b'chunked')]
    return [(b'Content-Length', b'%d' % answer.length)]


def _encode_chunk(part: bytes, *, is_chunked: bool) -> bytes:
    if is_chunked and part:
        return b'%x\r\n%b\r\n' % (len(part), part)
    return part
