"""A caller's connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_parser import RequestParser
from catkindrift.http1._response_queue import (
    ErrorResponseFactory,
    Handler,
    ResponseQueue,
)
from catkindrift.http1._response_writer import ResponseWriter
from catkindrift.steering import CallerLimits

# Requests that a caller may send ahead of their answers.
_MAX_PIPELINED_REQUESTS = 32
# Time for a caller to read an error before the connection is closed under
# bytes that it still sends.
_LINGER_SECONDS = 1.0


@final
@attrs.define(eq=False)
class ServerConnection(asyncio.Protocol):
    """Moves bytes between a caller, the parser and the queue of answers.

    Args:
        clock: Source of time.
        handler: Answers requests.
        refusal: Returns the answer to malformed input.
        limits: Returns the limits in force.
        connections: Where open connections are listed.
    """

    _clock: Clock
    _handler: Handler
    _error_response: ErrorResponseFactory
    _limits: Callable[[], CallerLimits]
    _connections: set['ServerConnection']
    _parser: RequestParser = attrs.field(init=False)
    _queue: ResponseQueue = attrs.field(init=False)
    _writer: ResponseWriter = attrs.field(init=False, factory=ResponseWriter)
    _idle_since_ms: int = attrs.field(init=False, default=0)
    _pause_reasons: set[str] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        """Wire the parts."""
        self._parser = RequestParser(
            self._clock,
            self,
            self._limits,
            self._start_request,
            self._add_error,
        )
        self._queue = ResponseQueue(
            self._handler,
            self._error_response,
            self._writer,
            self._record_response_sent,
            self._close_connection,
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a request has arrived in part or is unanswered."""
        return bool(self._queue.length) or self._parser.has_partial_head

    def drain(self) -> None:
        """End the connection after the next answer."""
        self._queue.is_draining = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._writer.attach(transport)  # type: ignore[arg-type]
        peer = transport.get_extra_info('peername')
        self._parser.set_caller(peer[0] if peer else '')
        self._idle_since_ms = self._clock.now_ms()
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for a caller who has left."""
        self._connections.discard(self)
        self._writer.detach()
        self._parser.stop()
        self._queue.cancel()

    def pause_writing(self) -> None:
        """Hold back answers."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._writer.resume()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of requests."""
        self._parser.feed(chunk)

    def set_paused(self, reason: str, *, is_paused: bool) -> None:
        """Read only while there is no reason to pause."""
        if is_paused:
            self._pause_reasons.add(reason)
            self._writer.pause_reading()
        elif reason in self._pause_reasons:
            self._pause_reasons.discard(reason)
            if not self._pause_reasons:
                self._writer.resume_reading()

    def send_continue(self) -> None:
        """Let a caller who waits for it send the body."""
        self._writer.send_continue()

    def check_timeouts(self) -> None:
        """Close the connection if the caller has been silent for too long."""
        if self._queue.length:
            return
        self._parser.check_head_timeout()
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        is_idle = idle_ms > self._limits().idle_timeout_ms
        if is_idle and not self.is_busy:
            self._writer.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def _start_request(self, request: CallerRequest, keep_alive: bool) -> None:
        self._queue.add(request, keep_alive=keep_alive)
        if self._queue.length >= _MAX_PIPELINED_REQUESTS:
            self.set_paused('ahead', is_paused=True)

    def _add_error(self, status: HTTPStatus, replaces_last: bool) -> None:
        self._queue.add_error(status, replaces_last=replaces_last)

    def _record_response_sent(self) -> None:
        self._idle_since_ms = self._clock.now_ms()
        if self._queue.length < _MAX_PIPELINED_REQUESTS:
            self.set_paused('ahead', is_paused=False)

    def _close_connection(self, lingers: bool) -> None:
        self._parser.stop()
        if lingers:
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGER_SECONDS, self._writer.close)
        else:
            self._writer.close()
