"""Queue of the responses to pipelined requests of one connection."""

import asyncio
import contextlib
import itertools
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, final

import attrs

from catkindrift.http1._held_heads import HeldHeads
from catkindrift.http1._held_response import hold_response
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._response import Response
from catkindrift.http1._response_writer import ResponseWriter

Handler = Callable[[CallerRequest], Awaitable[Response]]

# Argument of the `CancelledError` of a handler whose caller is still there.
CLOSED_BY_SERVER: Final = 'the server closes the connection'

_LOG = logging.getLogger(__name__)


@final
@attrs.define(eq=False, repr=False)
class _PendingResponse:
    keep_alive: bool
    head_bytes: int = 0
    may_write: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    has_begun: bool = False
    is_being_sent: bool = False

    def cancel(self, reason: str | None = None) -> None:
        """Cancel the handler of the request."""
        if self.task:
            self.task.cancel(reason)


@final
@attrs.define(eq=False, repr=False)
class ResponseQueue:
    """Handles pipelined requests and writes their responses in order.

    Safe requests (GET and HEAD) are handled concurrently. Any other starts
    only after all earlier responses were sent, so that it certainly has not
    run if the connection closes before then. So does a request behind a
    response that is streamed, which may break off and end the connection. For
    requests that had begun by then, the streamed response is held until it is
    whole.

    Args:
        handler: Returns the response to a request.
        writer: Writes responses to the connection.
        on_last_response: Called before a response after which the connection
            closes: requests that arrive from then on get no response.
        on_response_sent: Called after each response.
        on_close: Called when the connection has to close, with whether the
            caller may still be sending.
        held: Memory that heads take on all connections.
    """

    _handler: Handler
    _writer: ResponseWriter
    _on_last_response: Callable[[], None]
    _on_response_sent: Callable[[], None]
    _on_close: Callable[[bool], None]
    _held: HeldHeads
    is_draining: bool = False
    _pending: deque[_PendingResponse] = attrs.field(init=False, factory=deque)
    _streamed: set[_PendingResponse] = attrs.field(init=False, factory=set)

    @property
    def length(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self._pending)

    @property
    def is_sending(self) -> bool:
        """Return whether a response is being written."""
        return bool(self._pending) and self._pending[0].is_being_sent

    def add(
        self, request: CallerRequest, head_bytes: int, *, keep_alive: bool
    ) -> None:
        """Start handling a request.

        Args:
            request: Request whose head is complete.
            head_bytes: Memory that the head takes.
            keep_alive: Whether the connection may stay open after it.
        """
        pending = self._append(keep_alive=keep_alive)
        pending.head_bytes = head_bytes
        self._held.add_request(head_bytes)
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._run(pending, request))

    def add_error(self, response: Response, *, replaces_last: bool) -> None:
        """Queue an error response, after which the connection closes.

        Args:
            response: The error response.
            replaces_last: Whether the error concerns the body of the last
                request, whose handler is cancelled. If its response has been
                sent, or is being sent, the connection closes without another.
        """
        if replaces_last and not self._pending:
            self._on_close(True)
            return
        if replaces_last and self._pending[-1].is_being_sent:
            self._pending[-1].keep_alive = False
            return
        if replaces_last:
            self._drop(self._pending.pop())
        pending = self._append(keep_alive=False)
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._run_error(pending, response))

    def cancel(self, reason: str | None = None) -> None:
        """Cancel all handlers and drop their responses.

        Args:
            reason: Argument of the `CancelledError` that handlers get.
        """
        while self._pending:
            self._drop(self._pending.popleft(), reason)

    def _drop(
        self, pending: _PendingResponse, reason: str | None = None
    ) -> None:
        pending.cancel(reason)
        self._held.remove_request(pending.head_bytes)

    def _append(self, *, keep_alive: bool) -> _PendingResponse:
        pending = _PendingResponse(keep_alive)
        self._pending.append(pending)
        if self.length == 1:
            pending.may_write.set()
        return pending

    async def _run(
        self, pending: _PendingResponse, request: CallerRequest
    ) -> None:
        is_safe = request.method in {b'GET', b'HEAD'}
        # For a body, 100 Continue may have to be sent, which can't be sent
        # before or within the responses to other requests.
        may_overlap = is_safe and request.body.is_empty
        if not may_overlap or self._streamed:
            await pending.may_write.wait()
        pending.has_begun = True
        response = await self._handle(request)
        if not request.body.is_complete:
            request.body.discard()
        with contextlib.closing(response):
            if response.body_stream:
                response = await self._hold_for_others(pending, response)
            await pending.may_write.wait()
            closes = self._should_close_after(pending, response)
            # Without 100 Continue the caller may or may not send the body,
            # which could not be told apart from the next request.
            closes = closes or request.body.awaits_continue
            if closes:
                self._on_last_response()
            pending.is_being_sent = True
            is_whole = await self._writer.send(
                response,
                request.method,
                closes=closes,
                takes_chunks=request.takes_chunks,
            )
        self._finish(pending)
        if closes or not is_whole or not pending.keep_alive:
            self.cancel(CLOSED_BY_SERVER)
            self._on_close(not request.body.is_complete)

    async def _hold_for_others(
        self, pending: _PendingResponse, response: Response
    ) -> Response:
        """Hold a streamed response if requests behind it have begun."""
        self._streamed.add(pending)
        if self._has_begun_behind(pending):
            return await hold_response(response)
        return response

    def _has_begun_behind(self, pending: _PendingResponse) -> bool:
        behind = itertools.dropwhile(
            lambda each: each is not pending, self._pending
        )
        return any(each.has_begun for each in itertools.islice(behind, 1, None))

    async def _run_error(
        self,
        pending: _PendingResponse,
        response: Response,
    ) -> None:
        await pending.may_write.wait()
        await self._writer.send(response, b'GET', closes=True)
        self._finish(pending)
        self._on_close(True)

    async def _handle(self, request: CallerRequest) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # An upstream may have run the request, so the response does not
            # state an outcome.
            _LOG.exception(
                'request handler of the entry VM raised an exception'
            )
            return Response(HTTPStatus.BAD_GATEWAY)

    def _should_close_after(
        self, pending: _PendingResponse, response: Response
    ) -> bool:
        is_last = self.is_draining and self.length <= 1
        return response.closes_connection or not pending.keep_alive or is_last

    def _finish(self, pending: _PendingResponse) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
            self._held.remove_request(pending.head_bytes)
            self._streamed.discard(pending)
        if self._pending:
            self._pending[0].may_write.set()
        self._on_response_sent()
