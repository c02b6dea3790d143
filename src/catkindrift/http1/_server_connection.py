"""A caller's connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import final

import attrs
import httptools
from absl import logging

from catkindrift.clock import Clock
from catkindrift.http1._answer import Answer
from catkindrift.http1._answer_writer import AnswerWriter
from catkindrift.http1._head_collector import HeadCollector
from catkindrift.http1._request import CallerRequest
from catkindrift.steering import CallerLimits

Handler = Callable[[CallerRequest], Awaitable[Answer]]

# Requests that a caller may send ahead of their answers.
_MOST_AHEAD = 32
# Time for a caller to read an error before the connection is closed under
# bytes that it still sends.
_LINGER_SECONDS = 1.0


@final
@attrs.define(eq=False)
class _Exchange:
    keeps_alive: bool
    turn: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


@final
@attrs.define(eq=False)
class ServerConnection(asyncio.Protocol):
    """Runs requests as they come and answers them in their order.

    A request that may not be repeated starts only when all before it have
    been answered: a connection that ends leaves it surely not run.

    Args:
        clock: Source of time.
        handler: Answers requests.
        limits: Returns the limits in force.
        connections: Where open connections are listed.
    """

    _clock: Clock
    _handler: Handler
    _limits: Callable[[], CallerLimits]
    _connections: set['ServerConnection']
    is_draining: bool = False
    _collector: HeadCollector = attrs.field(init=False)
    _parser: httptools.HttpRequestParser = attrs.field(init=False)
    _writer: AnswerWriter = attrs.field(init=False, factory=AnswerWriter)
    _exchanges: deque[_Exchange] = attrs.field(init=False, factory=deque)
    _request: CallerRequest | None = attrs.field(init=False, default=None)
    _quiet_since_ms: int = attrs.field(init=False, default=0)
    _ignores_input: bool = attrs.field(init=False, default=False)
    _pauses: set[str] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        """Start with an empty parser."""
        self._collector = HeadCollector(self._clock, self)
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_busy(self) -> bool:
        """Return whether a request has arrived in part or is unanswered."""
        return bool(self._exchanges) or self._collector.has_begun

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._writer.attach(transport)  # type: ignore[arg-type]
        self._quiet_since_ms = self._clock.now_ms()
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for a caller who has left."""
        self._connections.discard(self)
        self._writer.detach()
        self._ignores_input = True
        for exchange in self._exchanges:
            if exchange.task:
                exchange.task.cancel()
        self._exchanges.clear()

    def pause_writing(self) -> None:
        """Hold back answers."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self._ignores_input:
            return
        self._collector.feeding(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)
        if self._collector.raw_bytes > self._limits().header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pause_body(self) -> None:
        """Stop reading while an upstream is slower than the caller."""
        self._pause('body')

    def resume_body(self) -> None:
        """Read on."""
        self._resume('body')

    def sweep(self) -> None:
        """Close the connection if the caller has been silent for too long."""
        limits = self._limits()
        now_ms = self._clock.now_ms()
        if self._exchanges:
            return
        if self._collector.has_begun:
            if self._collector.age_ms > limits.header_timeout_ms:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif now_ms - self._quiet_since_ms > limits.idle_timeout_ms:
            self._writer.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def on_message_begin(self) -> None:
        """Start the head of the next request."""
        self._collector.begin()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._collector.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._collector.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request."""
        if self._ignores_input:
            return
        refusal = self._collector.check(self._limits())
        if refusal:
            self._refuse(refusal)
            return
        self._request = self._collector.finish(self._parser.get_method())
        exchange = _Exchange(self._parser.should_keep_alive())
        self._exchanges.append(exchange)
        self._start(exchange, self._request)

    def on_body(self, body: bytes) -> None:
        """Hand on a part of the body."""
        if self._request is None or self._ignores_input:
            return
        self._request.body.add(body)
        if self._request.body.received > self._limits().body_bytes:
            self._refuse_last(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """End the body."""
        if self._request:
            self._request.body.finish()
            self._request = None

    def _start(self, exchange: _Exchange, request: CallerRequest) -> None:
        if self._exchanges[0] is exchange:
            exchange.turn.set()
        if len(self._exchanges) >= _MOST_AHEAD:
            self._pause('ahead')
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._run(exchange, request))

    async def _run(self, exchange: _Exchange, request: CallerRequest) -> None:
        if request.method not in {b'GET', b'HEAD'}:
            await exchange.turn.wait()
        answer = await self._answer(request)
        await exchange.turn.wait()
        closes = self._closes_after(exchange, answer)
        await self._writer.send(answer, request.method, closes=closes)
        self._answered(exchange, request, closes=closes)

    async def _answer(self, request: CallerRequest) -> Answer:
        try:
            return await self._handler(request)
        except Exception:
            # Nobody knows how far the request got, so nothing is promised.
            logging.exception('a request failed inside the entry VM')
            return Answer(HTTPStatus.BAD_GATEWAY)

    def _closes_after(self, exchange: _Exchange, answer: Answer) -> bool:
        is_last = len(self._exchanges) <= 1
        leaves = self.is_draining and is_last
        return answer.closes or not exchange.keeps_alive or leaves

    def _answered(
        self,
        exchange: _Exchange,
        request: CallerRequest,
        *,
        closes: bool,
    ) -> None:
        self._quiet_since_ms = self._clock.now_ms()
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        if closes:
            self._finish_connection(lingers=not request.body.is_complete)
            return
        if not request.body.is_complete:
            request.body.discard()
        if len(self._exchanges) < _MOST_AHEAD:
            self._resume('ahead')
        if self._exchanges:
            self._exchanges[0].turn.set()

    def _finish_connection(self, *, lingers: bool) -> None:
        self._ignores_input = True
        for behind in self._exchanges:
            if behind.task:
                behind.task.cancel()
        self._exchanges.clear()
        if lingers:
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGER_SECONDS, self._writer.close)
        else:
            self._writer.close()

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer malformed input when its turn comes, and read no more."""
        if self._ignores_input:
            return
        self._ignores_input = True
        exchange = _Exchange(keeps_alive=False)
        self._exchanges.append(exchange)
        if self._exchanges[0] is exchange:
            exchange.turn.set()
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._send_refusal(exchange, status))

    def _refuse_last(self, status: HTTPStatus) -> None:
        """Answer instead of the request whose body is arriving."""
        last = self._exchanges.pop() if self._exchanges else None
        if last and last.task:
            last.task.cancel()
        self._refuse(status)

    async def _send_refusal(
        self,
        exchange: _Exchange,
        status: HTTPStatus,
    ) -> None:
        await exchange.turn.wait()
        await self._writer.send(Answer(status), b'GET', closes=True)
        self._finish_connection(lingers=True)

    def _pause(self, reason: str) -> None:
        self._pauses.add(reason)
        self._writer.pause_reading()

    def _resume(self, reason: str) -> None:
        if reason in self._pauses:
            self._pauses.discard(reason)
            if not self._pauses:
                self._writer.resume_reading()
