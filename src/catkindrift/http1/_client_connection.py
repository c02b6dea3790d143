"""Client connection."""

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._response_parser import ResponseParser

# Response body bytes buffered for a slow reader before reading is paused.
_MAX_BUFFERED_BYTES = 262_144


@final
@attrs.define(eq=False, repr=False)
class ClientConnection(asyncio.Protocol):
    """Client connection that carries one request at a time.

    It is not reused after bytes that belong to no request, a response to
    another request, or a truncated or malformed response.

    Args:
        keep_alive_ms: Idle timeout that the peer states, None if it has not.
        idle_since_ms: When it was last given back to a pool.
        connected_ms: When a pool opened it.
        on_lost: Called when it has been closed by either side.
    """

    keep_alive_ms: int | None = attrs.field(init=False, default=None)
    idle_since_ms: int = attrs.field(init=False, default=0)
    connected_ms: int = attrs.field(init=False, default=0)
    on_lost: Callable[['ClientConnection'], None] | None = attrs.field(
        init=False, default=None
    )
    _transport: asyncio.Transport | None = attrs.field(init=False, default=None)
    _receiver: ResponseReceiver | None = attrs.field(init=False, default=None)
    _parser: ResponseParser | None = attrs.field(init=False, default=None)
    _is_reuse_disabled: bool = attrs.field(init=False, default=False)
    _writable: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        receiver = self._receiver
        is_free = receiver is None or receiver.is_complete
        return is_free and self.is_open and not self._is_reuse_disabled

    @property
    def is_open(self) -> bool:
        """Whether what is written is sent; False once either side closes."""
        return self._transport is not None and not self._transport.is_closing()

    def expect_response(
        self,
        receiver: ResponseReceiver,
        *,
        is_head_request: bool = False,
    ) -> None:
        """Receive the response to the request that is written next.

        Args:
            receiver: Receives the response.
            is_head_request: Whether the request is HEAD, so that the response
                has no body.
        """
        self._receiver = receiver
        self._parser = ResponseParser(receiver, is_head_request)

    def write(self, chunk: bytes) -> None:
        """Write bytes of a request; a no-op on a closing connection."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(chunk)

    async def wait_writable(self) -> None:
        """Wait until the send buffer has room."""
        await self._writable.wait()

    def resume_reading(self) -> None:
        """Resume reading after the receive buffer was full."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def disable_reuse(self) -> None:
        """Keep the connection from being used for another request."""
        self._is_reuse_disabled = True

    def abort(self) -> None:
        """Close immediately, so that the peer stops work on the request."""
        self._is_reuse_disabled = True
        if self._transport:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport of the opened connection."""
        self._transport = transport  # type: ignore[assignment]
        self._writable.set()

    def pause_writing(self) -> None:
        """Block `wait_writable` while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock `wait_writable`."""
        self._writable.set()

    def data_received(self, chunk: bytes) -> None:
        """Parse response bytes; abort if no response is expected."""
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
        """Complete a response that is delimited by the close."""
        self._is_reuse_disabled = True
        if self._parser:
            self._parser.feed_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that is incomplete."""
        self._is_reuse_disabled = True
        self._writable.set()
        if self._parser:
            self._parser.connection_lost()
        if self.on_lost:
            self.on_lost(self)
