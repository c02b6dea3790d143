"""A connection on which this process sends requests."""

import asyncio
from typing import final

import attrs
import httptools

from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._headers import Headers, find_header
from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._response_head import ResponseHead

# Body bytes that wait for a slow reader before the sender is slowed.
_BUFFER_BYTES = 262_144
_FIRST_FINAL_STATUS = 200
# Responses that never have a body (RFC 9110, section 6.4.1).
_BODILESS = frozenset((204, 304))


@final
@attrs.define(eq=False)
class ClientConnection(asyncio.Protocol):
    """One request at a time; never used again after anything odd.

    Bytes that belong to no request, a response of another request, a cut or
    malformed response all end the connection's use.
    """

    keep_alive_ms: int | None = attrs.field(init=False, default=None)
    idle_since_ms: int = attrs.field(init=False, default=0)
    _transport: asyncio.Transport | None = attrs.field(init=False, default=None)
    _parser: httptools.HttpResponseParser | None = attrs.field(
        init=False, default=None
    )
    _receiver: ResponseReceiver | None = attrs.field(init=False, default=None)
    _headers: Headers = attrs.field(init=False, factory=list)
    _is_ours: bool = attrs.field(init=False, default=False)
    _is_spent: bool = attrs.field(init=False, default=False)
    _ends_with_close: bool = attrs.field(init=False, default=False)
    _is_head_request: bool = attrs.field(init=False, default=False)
    _writable: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return not self._is_spent and self._receiver is None

    @property
    def is_closed(self) -> bool:
        """Return whether nothing can be written any more."""
        return self._transport is None or self._transport.is_closing()

    def start(
        self,
        receiver: ResponseReceiver,
        *,
        is_head_request: bool = False,
    ) -> None:
        """Expect the response to the request that is written next."""
        self._receiver = receiver
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)

    def write(self, chunk: bytes) -> None:
        """Send bytes of a request."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(chunk)

    async def wait_writable(self) -> None:
        """Wait until the peer has taken what was written."""
        await self._writable.wait()

    def resume_reading(self) -> None:
        """Read on after a full buffer."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def spend(self) -> None:
        """Never use the connection for another request."""
        self._is_spent = True

    def abort(self) -> None:
        """Close at once, so that the peer stops its work."""
        self._is_spent = True
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold back writers."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response."""
        if self._receiver is None or self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(ResponseFailure.MALFORMED)
        except httptools.HttpParserUpgrade:
            self._fail(ResponseFailure.MALFORMED)

    def eof_received(self) -> bool:
        """End a response whose end is the end of its connection."""
        self._is_spent = True
        receiver = self._receiver
        if receiver and self._is_ours and self._ends_with_close:
            self._finish(receiver)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is still awaited."""
        self._is_spent = True
        self._writable.set()
        has_head = self._receiver is not None and self._is_ours
        self._fail(
            ResponseFailure.TRUNCATED if has_head else ResponseFailure.CLOSED,
        )

    def on_message_begin(self) -> None:
        """Start the next message of the parser."""
        self._headers = []
        self._is_ours = False
        if self._receiver is None:
            self._is_spent = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide whose response this is, and where it ends."""
        if self._parser is None or self._receiver is None:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        head = ResponseHead(status, self._headers)
        self._is_ours = self._receiver.accepts(head)
        self._note_connection_headers()
        if not self._is_ours:
            self._is_spent = True
            return
        if self._is_head_request:
            self._finish(self._receiver)
            self._is_spent = True
            return
        self._ends_with_close = not (
            status in _BODILESS
            or find_header(self._headers, b'content-length')
            or find_header(self._headers, b'transfer-encoding')
        )

    def on_body(self, body: bytes) -> None:
        """Hand on a part of the body."""
        receiver = self._receiver
        if receiver is None or not self._is_ours:
            return
        receiver.add(body)
        if receiver.buffered > _BUFFER_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the response."""
        if self._receiver and self._is_ours:
            self._finish(self._receiver)

    def _finish(self, receiver: ResponseReceiver) -> None:
        self._receiver = None
        receiver.complete()

    def _fail(self, failure: ResponseFailure) -> None:
        receiver = self._receiver
        self._receiver = None
        self.abort()
        if receiver:
            receiver.fail(failure)

    def _note_connection_headers(self) -> None:
        options = find_header(self._headers, b'connection').lower()
        if b'close' in options:
            self._is_spent = True
        self.keep_alive_ms = _keep_alive_ms(
            find_header(self._headers, b'keep-alive'),
        )


def _keep_alive_ms(found: bytes) -> int | None:
    for option in found.split(b','):
        name, _, number = option.strip().partition(b'=')
        if name == b'timeout' and number.isdigit():
            return int(number) * 1000
    return None
