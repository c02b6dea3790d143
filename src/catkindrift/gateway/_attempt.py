"""Sends one request to one upstream."""

import contextlib
import functools
import itertools
from collections.abc import Iterator
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
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
    Exchange,
    ResponseFailure,
    ResponseHead,
    ResponseRest,
    body_length,
    end_to_end,
    without_framing,
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
        exchange = Exchange(
            pending.request,
            connection,
            pending.is_answer,
        )
        attempt = _Attempt(pending, state, exchange)
        try:
            return await self._exchange(attempt)
        except BaseException:
            connection.abort()
            raise

    async def _exchange(self, attempt: '_Attempt') -> AttemptOutcome:
        pending = attempt.pending
        request = pending.request
        pending.may_have_run = True
        began_ms = self._clock.now_ms()
        headers = forwarded_headers(
            end_to_end(request.headers),
            max(1, pending.deadline_ms - began_ms),
            attempt.state.upstream.id,
        )
        exchange = attempt.exchange
        exchange.start(request.target, headers)
        await exchange.send_until(exchange.receiver.wait_for(_HOLD_BYTES))
        return self._judge(attempt, began_ms)

    def _judge(
        self,
        attempt: '_Attempt',
        began_ms: int,
    ) -> AttemptOutcome:
        state = attempt.state
        pending = attempt.pending
        receiver = attempt.exchange.receiver
        now_ms = self._clock.now_ms()
        head = receiver.head
        if head is None or receiver.failure:
            attempt.abort()
            if receiver.failure is ResponseFailure.CLOSED:
                self._crashes.broke_off(state.upstream)
            return self._failed(state, receiver.failure)
        self._learn(state, head, now_ms)
        self._crashes.answered(pending.fingerprint)
        if says_not_run(head):
            return self._refused(attempt, head, now_ms)
        if not pending.may_pass_on(head):
            attempt.abort()
            return self._failed(state, ResponseFailure.MALFORMED)
        is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            state.refused()
        else:
            self._learn_speed(attempt, now_ms, now_ms - began_ms)
        return Answered(self._answer(attempt, head), is_failure)

    def _answer(self, attempt: '_Attempt', head: ResponseHead) -> Answer:
        receiver = attempt.exchange.receiver
        rest = None
        body = receiver.take()
        if receiver.is_complete:
            self._end(attempt, is_whole=True)
        else:
            rest = ResponseRest(
                receiver,
                functools.partial(self._end, attempt),
            )
        return Answer(
            head.status,
            without_framing(head.headers),
            body,
            body_length(head.headers),
            rest,
        )

    def _end(self, attempt: '_Attempt', is_whole: bool) -> None:
        """Keep the connection of a whole response, or close it."""
        if is_whole:
            connection = attempt.exchange.connection
            self._pool.give_back(attempt.state.upstream, connection)
        else:
            attempt.abort()

    def _refused(
        self,
        attempt: '_Attempt',
        head: ResponseHead,
        now_ms: int,
    ) -> NotRun:
        state = attempt.state
        if is_misdirected(head):
            state.eject(now_ms)
            attempt.abort()
        else:
            state.refused()
            self._end(attempt, is_whole=True)
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
        attempt: '_Attempt',
        now_ms: int,
        took_ms: int,
    ) -> None:
        state = attempt.state
        speed = self._placement.speed(state.upstream.service)
        state.answered(now_ms, took_ms, speed.usual_ms)
        if not attempt.pending.had_to_wait:
            speed.learn(took_ms)


@final
@attrs.frozen(eq=False)
class _Attempt:
    pending: PendingRequest
    state: UpstreamState
    exchange: Exchange

    def abort(self) -> None:
        """Close the connection, so that the upstream stops."""
        self.exchange.connection.abort()
