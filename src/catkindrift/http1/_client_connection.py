"""A connection on which this process sends requests."""

import asyncio
from typing import final

import attrs

from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._response_parser import ResponseParser

# Body bytes that wait for a slow reader before the sender is slowed.
_MAX_BUFFERED_BYTES = 262_144


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
    _receiver: ResponseReceiver | None = attrs.field(init=False, default=None)
    _parser: ResponseParser | None = attrs.field(init=False, default=None)
    _is_reuse_disabled: bool = attrs.field(init=False, default=False)
    _writable: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        receiver = self._receiver
        is_free = receiver is None or receiver.is_complete
        return is_free and not self._is_reuse_disabled

    def expect_response(
        self,
        receiver: ResponseReceiver,
        *,
        is_head_request: bool = False,
    ) -> None:
        """Expect the response to the request that is written next."""
        self._receiver = receiver
        self._parser = ResponseParser(receiver, is_head_request)

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

    def disable_reuse(self) -> None:
        """Never use the connection for another request."""
        self._is_reuse_disabled = True

    def abort(self) -> None:
        """Close at once, so that the peer stops its work."""
        self._is_reuse_disabled = True
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

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of a response; others end the connection."""
        receiver = self._receiver
        if receiver is None or self._parser is None or receiver.has_ended:
            self.abort()
            return
        self._parser.feed(chunk)
        self.keep_alive_ms = self._parser.keep_alive_ms
        if self._parser.prevents_reuse:
            self._is_reuse_disabled = True
        if receiver.failure:
            self.abort()
        elif receiver.buffered_bytes > _MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """End a response whose end is the end of its connection."""
        self._is_reuse_disabled = True
        if self._parser:
            self._parser.feed_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is still awaited."""
        self._is_reuse_disabled = True
        self._writable.set()
        if self._parser:
            self._parser.connection_lost()
