"""Sends one request to one upstream."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterator
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import BrokenAnswerError
from catkindrift.gateway._attempt_outcome import (
    Answered,
    AttemptOutcome,
    NotRun,
    Unknown,
)
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.http1 import (
    Answer,
    ClientConnection,
    ResponseFailure,
    ResponseHead,
    ResponseReceiver,
    encode_head,
    end_to_end,
    find_header,
)
from catkindrift.platform import (
    cold_left_ms,
    forwarded_headers,
    is_misdirected,
    load_report,
    says_not_run,
)
from catkindrift.steering import LoadReport, Placement, UpstreamState

# Answers up to this size are passed on only when they are whole, so that a
# cut or malformed one can still be replaced.
_HOLD_BYTES = 131_072
# A full upstream's slots and queue, when it does not state its load.
_FULL_TIMES = 3


@final
@attrs.define(eq=False)
class AttemptSender:
    """Makes attempts and tells the upstream's state what was seen.

    Args:
        clock: Source of time.
        pool: Connections.
        placement: Learns speeds.
        metrics: Counts failures.
        crashes: Learns which requests crash upstreams.
    """

    _clock: Clock
    _pool: UpstreamPool
    _placement: Placement
    _metrics: GatewayMetrics
    _crashes: CrashWatch
    _tokens: Iterator[int] = attrs.field(
        init=False,
        factory=itertools.count,
    )

    async def send(
        self,
        pending: PendingRequest,
        state: UpstreamState,
    ) -> AttemptOutcome:
        """Send a request and return what became of it.

        When cancelled, closes the connection, so that the upstream stops.
        """
        token = next(self._tokens)
        now_ms = self._clock.now_ms()
        pending.had_to_wait = state.load(now_ms) >= state.upstream.slots
        state.sent(token, pending.key, now_ms)
        with contextlib.ExitStack() as stack:
            stack.callback(state.ended, token)
            self._crashes.started(state.upstream, token, pending.fingerprint)
            stack.callback(self._crashes.ended, state.upstream, token)
            return await self._send_counted(pending, state)

    async def _send_counted(
        self,
        pending: PendingRequest,
        state: UpstreamState,
    ) -> AttemptOutcome:
        upstream = state.upstream
        connection = self._pool.take(upstream)
        if connection is None:
            connection = await self._pool.connect(upstream)
        if connection is None:
            state.eject(self._clock.now_ms())
            self._metrics.failures.labels('connect').inc()
            return NotRun(has_arrived=False)
        receiver = ResponseReceiver(
            pending.is_answer, connection.resume_reading
        )
        exchange = _Exchange(pending, state, connection, receiver)
        try:
            return await self._exchange(exchange)
        except BaseException:
            connection.abort()
            raise

    async def _exchange(self, exchange: '_Exchange') -> AttemptOutcome:
        pending = exchange.pending
        pending.may_have_run = True
        began_ms = self._clock.now_ms()
        exchange.start(pending.deadline_ms - began_ms)
        if pending.request.body.is_empty:
            await exchange.receiver.wait_for(_HOLD_BYTES)
        else:
            await exchange.wait_while_sending(_HOLD_BYTES)
        return self._judge(exchange, began_ms)

    def _judge(
        self,
        exchange: '_Exchange',
        began_ms: int,
    ) -> AttemptOutcome:
        state = exchange.state
        receiver = exchange.receiver
        now_ms = self._clock.now_ms()
        head = receiver.head
        if head is None or receiver.failure:
            exchange.connection.abort()
            if receiver.failure is ResponseFailure.CLOSED:
                self._crashes.broke_off(state.upstream)
            return self._failed(state, receiver.failure)
        self._learn(state, head, now_ms)
        self._crashes.answered(exchange.pending.fingerprint)
        if says_not_run(head):
            return self._refused(exchange, head, now_ms)
        if not exchange.pending.may_pass_on(head):
            exchange.connection.abort()
            return self._failed(state, ResponseFailure.MALFORMED)
        is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            state.refused()
        else:
            self._learn_speed(exchange, now_ms, now_ms - began_ms)
        return Answered(self._answer(exchange, head), is_failure)

    def _answer(self, exchange: '_Exchange', head: ResponseHead) -> Answer:
        receiver = exchange.receiver
        headers = [
            each
            for each in end_to_end(head.headers)
            if each[0].lower() != b'content-length'
        ]
        stated = find_header(head.headers, b'content-length')
        length = int(stated) if stated.isdigit() else None
        body = receiver.take()
        if receiver.is_complete:
            self._pool.give_back(exchange.state.upstream, exchange.connection)
            return Answer(head.status, headers, body, length)
        rest = self._rest(exchange)
        return Answer(head.status, headers, body, length, rest)

    async def _rest(self, exchange: '_Exchange') -> AsyncIterator[bytes]:
        receiver = exchange.receiver
        try:
            while not receiver.is_complete or receiver.buffered:
                part = await receiver.next_chunk()
                if receiver.failure:
                    raise BrokenAnswerError('the upstream broke off')
                yield part
        except BaseException:
            exchange.connection.abort()
            raise
        self._pool.give_back(exchange.state.upstream, exchange.connection)

    def _refused(
        self,
        exchange: '_Exchange',
        head: ResponseHead,
        now_ms: int,
    ) -> NotRun:
        state = exchange.state
        if is_misdirected(head):
            state.eject(now_ms)
            exchange.connection.abort()
        else:
            state.refused()
            self._pool.give_back(state.upstream, exchange.connection)
        if load_report(head) is None:
            slots = state.upstream.slots
            full = LoadReport(slots, slots * _FULL_TIMES, slots)
            state.reported(full, now_ms)
        self._metrics.failures.labels('refused').inc()
        return NotRun(has_arrived=True)

    def _failed(
        self,
        state: UpstreamState,
        failure: ResponseFailure | None,
    ) -> Unknown:
        seen = failure or ResponseFailure.CLOSED
        state.failed(self._clock.now_ms())
        self._metrics.failures.labels(seen.value).inc()
        return Unknown(seen)

    def _learn(
        self,
        state: UpstreamState,
        head: ResponseHead,
        now_ms: int,
    ) -> None:
        report = load_report(head)
        if report:
            state.reported(report, now_ms)
        cold_ms = cold_left_ms(head)
        if cold_ms:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)

    def _learn_speed(
        self,
        exchange: '_Exchange',
        now_ms: int,
        took_ms: int,
    ) -> None:
        state = exchange.state
        speed = self._placement.speed(state.upstream.service)
        state.answered(now_ms, took_ms, speed.usual_ms)
        if not exchange.pending.had_to_wait:
            speed.learn(took_ms)


@final
@attrs.define(eq=False)
class _Exchange:
    pending: PendingRequest
    state: UpstreamState
    connection: ClientConnection
    receiver: ResponseReceiver

    def start(self, left_ms: int) -> None:
        """Send the head, and the body if it has come already."""
        request = self.pending.request
        headers = forwarded_headers(
            end_to_end(request.headers),
            max(1, left_ms),
            self.state.upstream.id,
        )
        if request.body.is_chunked:
            headers.append((b'Transfer-Encoding', b'chunked'))
        first_line = b'%b %b HTTP/1.1' % (request.method, request.target)
        self.connection.start(
            self.receiver,
            is_head_request=request.method == b'HEAD',
        )
        self.connection.write(encode_head(first_line, headers))

    async def wait_while_sending(self, most_bytes: int) -> None:
        """Send the body as it arrives, until the response is there.

        A connection whose response came before the whole request was sent is
        not used again: other bytes would take the place of the rest.
        """
        sender = asyncio.get_running_loop().create_task(self._send_body())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._stop_sending, sender)
            await self.receiver.wait_for(most_bytes)

    async def _stop_sending(self, sender: asyncio.Task[None]) -> None:
        if not sender.done():
            self.connection.spend()
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sender

    async def _send_body(self) -> None:
        body = self.pending.request.body
        for index in itertools.count():
            part = await body.next_part(index)
            if part is None:
                break
            self.connection.write(_framed(part, is_chunked=body.is_chunked))
            await self.connection.wait_writable()
        if body.is_chunked:
            self.connection.write(b'0\r\n\r\n')


def _framed(part: bytes, *, is_chunked: bool) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part) if is_chunked else part
