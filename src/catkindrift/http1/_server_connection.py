"""Server side of a caller's connection."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import attrs

from catkindrift.clock import Clock
from catkindrift.http1._connection_limit import ConnectionLimit
from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._held_heads import HeldHeads
from catkindrift.http1._rejection import RejectedRequest
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_parser import RequestParser
from catkindrift.http1._response import Response
from catkindrift.http1._response_queue import Handler, ResponseQueue
from catkindrift.http1._response_writer import ResponseWriter
from catkindrift.steering import CallerLimits

ErrorResponseFactory = Callable[[RejectedRequest], Response]

# Pipelined requests without a response at which reading is paused.
_MAX_PIPELINED_REQUESTS = 32
# Time for a caller to read the last response and to close the connection. If
# it is closed with unread bytes, the caller gets a reset, which may overtake
# the response.
_LINGER_SECONDS = 1.0
# Most bytes of one read. What is read may wait for the responses to earlier
# requests, on each connection.
_READ_BYTES = 32_768
# All connections read into the same buffer, one at a time.
_READ_BUFFER: Final = memoryview(bytearray(_READ_BYTES))


@final
@attrs.define(eq=False, repr=False)
class ServerConnection(asyncio.BufferedProtocol):
    """Connects a transport to the request parser and response queue.

    Args:
        clock: Source of time.
        handler: Returns the response to a request.
        error_response: Returns the response to a rejected request.
        rules: Rules for the headers of requests.
        limits: Returns the current limits.
        connections: Set of open connections, kept up to date.
        is_closed: Returns whether the server has been closed.
        held: Memory that heads take on all connections.
        limit: Limit on the open connections of all servers.
    """

    _clock: Clock
    _handler: Handler
    _error_response: ErrorResponseFactory
    _rules: HeaderRules
    _limits: Callable[[], CallerLimits]
    _connections: set['ServerConnection']
    _is_closed: Callable[[], bool]
    _held: HeldHeads
    _limit: ConnectionLimit
    _parser: RequestParser = attrs.field(init=False)
    _queue: ResponseQueue = attrs.field(init=False)
    _writer: ResponseWriter = attrs.field(init=False, factory=ResponseWriter)
    _idle_since_ms: int = attrs.field(init=False, default=0)
    _pause_reasons: set[str] = attrs.field(init=False, factory=set)
    _is_lingering: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        """Create the parser and the response queue."""
        self._parser = RequestParser(
            self._clock,
            self,
            self._rules,
            self._limits,
            self._held,
            self._may_parse,
            self._start_request,
            self._add_error,
        )
        self._queue = ResponseQueue(
            self._handler,
            self._writer,
            self._parser.stop_after_current,
            self._record_response_sent,
            self._close_connection,
            self._held,
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a request is arriving or has no whole response."""
        return (
            bool(self._queue.length)
            or self._parser.has_partial_head
            or self._writer.has_unsent_bytes
        )

    @property
    def has_request(self) -> bool:
        """Return whether a request has no complete response yet."""
        return bool(self._queue.length) or self._writer.has_unsent_bytes

    @property
    def is_sending(self) -> bool:
        """Return whether a response is being sent."""
        return self._queue.is_sending or self._writer.has_unsent_bytes

    def drain(self) -> None:
        """Close the connection after a response that leaves none pending."""
        self._queue.is_draining = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and store the caller's address.

        A connection that was accepted just before the server was closed is
        closed before anything is read.
        """
        if self._is_closed():
            transport.close()
            return
        self._writer.attach(transport)  # type: ignore[arg-type]
        peer = transport.get_extra_info('peername')
        self._parser.set_caller(peer[0] if peer else '')
        self._idle_since_ms = self._clock.now_ms()
        self._connections.add(self)
        self._limit.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all requests of the disconnected caller."""
        self._connections.discard(self)
        self._limit.discard(self)
        self._writer.detach()
        self._parser.stop()
        self._queue.cancel()

    def pause_writing(self) -> None:
        """Pause writing while the send buffer is full."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Resume writing."""
        self._writer.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes of requests."""
        self._parser.feed(bytes(_READ_BUFFER[:nbytes]))
        if self._parser.has_unparsed_bytes:
            self.set_paused('ahead', is_paused=True)

    def set_paused(self, reason: str, *, is_paused: bool) -> None:
        """Add or remove a reason for which reading is paused."""
        if is_paused:
            self._pause_reasons.add(reason)
            self._writer.pause_reading()
        elif reason in self._pause_reasons:
            self._pause_reasons.discard(reason)
            if not self._pause_reasons:
                self._writer.resume_reading()

    def send_continue(self) -> None:
        """Send 100 Continue to the caller."""
        self._writer.send_continue()

    def check_timeouts(self) -> None:
        """Enforce the header and idle timeouts."""
        if self._queue.length:
            return
        self._parser.check_head_timeout()
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        is_idle = idle_ms > self._limits().idle_timeout_ms
        if is_idle:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if not self.is_busy and not self._is_lingering:
            self._writer.close(unless_unread=True)

    def close(self) -> None:
        """Close the connection after buffered data is sent."""
        self._writer.close()

    def refuse_partial_head(self) -> None:
        """Refuse the head that is arriving, and drop it."""
        self._parser.refuse_partial_head()

    def _may_parse(self) -> bool:
        """Return whether another request may begin."""
        return self._queue.length < _MAX_PIPELINED_REQUESTS and not (
            self._queue.length and self._held.is_full
        )

    def _start_request(
        self, request: CallerRequest, keep_alive: bool, held_bytes: int
    ) -> None:
        self._queue.add(request, held_bytes, keep_alive=keep_alive)
        if not self._may_parse():
            self.set_paused('ahead', is_paused=True)

    def _add_error(
        self, rejected: RejectedRequest, replaces_last: bool
    ) -> None:
        response = self._error_response(rejected)
        self._queue.add_error(response, replaces_last=replaces_last)

    def _record_response_sent(self) -> None:
        self._idle_since_ms = self._clock.now_ms()
        self._limit.record_response(self)
        self._parser.resume()
        if self._may_parse():
            self.set_paused('ahead', is_paused=False)

    def _close_connection(self, caller_is_sending: bool) -> None:
        self._parser.stop()
        self._is_lingering = True
        self._pause_reasons.clear()
        self._writer.resume_reading()
        if self._writer.finish() or caller_is_sending:
            self._linger()
        else:
            self._writer.close()

    def _linger(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_SECONDS, self._end_linger)

    def _end_linger(self) -> None:
        """Close the connection, unless the caller has still to read."""
        if self._writer.has_unsent_bytes:
            self._linger()
        else:
            self._writer.close()
