"""Requests of one connection, answered in their order."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import final

import attrs
from absl import logging

from catkindrift.http1._request import CallerRequest
from catkindrift.http1._response import Response
from catkindrift.http1._response_writer import ResponseWriter

Handler = Callable[[CallerRequest], Awaitable[Response]]
ErrorResponseFactory = Callable[[HTTPStatus], Response]


@final
@attrs.define(eq=False)
class _PendingResponse:
    keep_alive: bool
    may_write: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Stop the work for the request."""
        if self.task:
            self.task.cancel()


@final
@attrs.define(eq=False)
class ResponseQueue:
    """Runs requests as they come and writes their answers in order.

    A request that may not be repeated starts only when all before it have
    been answered: a connection that ends leaves it surely not run.

    Args:
        handler: Answers requests.
        refusal: Returns the answer to malformed input.
        writer: Writes answers.
        on_answered: Called after each response.
        on_end: Called when the connection has to end, with whether the
            caller still sends.
    """

    _handler: Handler
    _error_response: ErrorResponseFactory
    _writer: ResponseWriter
    _on_response_sent: Callable[[], None]
    _on_close: Callable[[bool], None]
    is_draining: bool = False
    _pending: deque[_PendingResponse] = attrs.field(init=False, factory=deque)

    @property
    def length(self) -> int:
        """Return the requests that are not answered yet."""
        return len(self._pending)

    def add(self, request: CallerRequest, *, keep_alive: bool) -> None:
        """Start a request."""
        pending = self._append(keep_alive=keep_alive)
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._run(pending, request))

    def add_error(self, status: HTTPStatus, *, replaces_last: bool) -> None:
        """Answer malformed input in its turn, and end the connection."""
        if replaces_last and self._pending:
            self._pending.pop().cancel()
        pending = self._append(keep_alive=False)
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._run_error(pending, status))

    def cancel(self) -> None:
        """Stop all work: the caller has left."""
        for pending in self._pending:
            pending.cancel()
        self._pending.clear()

    def _append(self, *, keep_alive: bool) -> _PendingResponse:
        pending = _PendingResponse(keep_alive)
        self._pending.append(pending)
        if self.length == 1:
            pending.may_write.set()
        return pending

    async def _run(
        self, pending: _PendingResponse, request: CallerRequest
    ) -> None:
        if request.method not in {b'GET', b'HEAD'}:
            await pending.may_write.wait()
        response = await self._handle(request)
        with contextlib.closing(response):
            await pending.may_write.wait()
            closes = self._should_close_after(pending, response)
            # A body that was not invited may come or not; nobody can tell
            # it from the next request.
            closes = closes or request.body.expects_continue
            await self._writer.send(response, request.method, closes=closes)
        if not request.body.is_complete:
            request.body.discard()
        self._finish(pending)
        if closes:
            self.cancel()
            self._on_close(not request.body.is_complete)

    async def _run_error(
        self,
        pending: _PendingResponse,
        status: HTTPStatus,
    ) -> None:
        await pending.may_write.wait()
        response = self._error_response(status)
        await self._writer.send(response, b'GET', closes=True)
        self._finish(pending)
        self._on_close(True)

    async def _handle(self, request: CallerRequest) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # Nobody knows how far the request got, so nothing is promised.
            logging.exception('a request failed inside the entry VM')
            return Response(HTTPStatus.BAD_GATEWAY)

    def _should_close_after(
        self, pending: _PendingResponse, response: Response
    ) -> bool:
        is_last = self.is_draining and self.length <= 1
        return response.closes_connection or not pending.keep_alive or is_last

    def _finish(self, pending: _PendingResponse) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
        if self._pending:
            self._pending[0].may_write.set()
        self._on_response_sent()
