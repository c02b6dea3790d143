"""Requests of one connection, answered in their order."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import final

import attrs
from absl import logging

from catkindrift.http1._answer import Answer
from catkindrift.http1._answer_writer import AnswerWriter
from catkindrift.http1._request import CallerRequest

Handler = Callable[[CallerRequest], Awaitable[Answer]]
RefusalAnswer = Callable[[HTTPStatus], Answer]


@final
@attrs.define(eq=False)
class _Exchange:
    keeps_alive: bool
    turn: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Stop the work for the request."""
        if self.task:
            self.task.cancel()


@final
@attrs.define(eq=False)
class AnswerQueue:
    """Runs requests as they come and writes their answers in order.

    A request that may not be repeated starts only when all before it have
    been answered: a connection that ends leaves it surely not run.

    Args:
        handler: Answers requests.
        refusal: Returns the answer to malformed input.
        writer: Writes answers.
        on_answered: Called after each answer.
        on_end: Called when the connection has to end, with whether the
            caller still sends.
    """

    _handler: Handler
    _refusal: RefusalAnswer
    _writer: AnswerWriter
    _on_answered: Callable[[], None]
    _on_end: Callable[[bool], None]
    is_draining: bool = False
    _exchanges: deque[_Exchange] = attrs.field(init=False, factory=deque)

    @property
    def length(self) -> int:
        """Return the requests that are not answered yet."""
        return len(self._exchanges)

    def add(self, request: CallerRequest, *, keeps_alive: bool) -> None:
        """Start a request."""
        exchange = self._append(keeps_alive=keeps_alive)
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run(exchange, request))

    def refuse(self, status: HTTPStatus, *, replaces_last: bool) -> None:
        """Answer malformed input in its turn, and end the connection."""
        if replaces_last and self._exchanges:
            self._exchanges.pop().cancel()
        exchange = self._append(keeps_alive=False)
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run_refusal(exchange, status))

    def cancel(self) -> None:
        """Stop all work: the caller has left."""
        for exchange in self._exchanges:
            exchange.cancel()
        self._exchanges.clear()

    def _append(self, *, keeps_alive: bool) -> _Exchange:
        exchange = _Exchange(keeps_alive)
        self._exchanges.append(exchange)
        if self.length == 1:
            exchange.turn.set()
        return exchange

    async def _run(self, exchange: _Exchange, request: CallerRequest) -> None:
        if request.method not in {b'GET', b'HEAD'}:
            await exchange.turn.wait()
        answer = await self._answer(request)
        with contextlib.closing(answer):
            await exchange.turn.wait()
            closes = self._closes_after(exchange, answer)
            # A body that was not invited may come or not; nobody can tell
            # it from the next request.
            closes = closes or request.body.awaits_invitation
            await self._writer.send(answer, request.method, closes=closes)
        if not request.body.is_complete:
            request.body.discard()
        self._finish(exchange)
        if closes:
            self.cancel()
            self._on_end(not request.body.is_complete)

    async def _run_refusal(
        self,
        exchange: _Exchange,
        status: HTTPStatus,
    ) -> None:
        await exchange.turn.wait()
        answer = self._refusal(status)
        await self._writer.send(answer, b'GET', closes=True)
        self._finish(exchange)
        self._on_end(True)

    async def _answer(self, request: CallerRequest) -> Answer:
        try:
            return await self._handler(request)
        except Exception:
            # Nobody knows how far the request got, so nothing is promised.
            logging.exception('a request failed inside the entry VM')
            return Answer(HTTPStatus.BAD_GATEWAY)

    def _closes_after(self, exchange: _Exchange, answer: Answer) -> bool:
        leaves = self.is_draining and self.length <= 1
        return answer.closes or not exchange.keeps_alive or leaves

    def _finish(self, exchange: _Exchange) -> None:
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        if self._exchanges:
            self._exchanges[0].turn.set()
        self._on_answered()
