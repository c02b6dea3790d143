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
)
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._running_attempt import RunningAttempt
from catkindrift.gateway._upstream_observer import UpstreamObserver
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
    forwarded_headers,
    is_misdirected,
    says_not_run,
)
from catkindrift.steering import UpstreamState

# What a response looks like when its upstream ends.
_BREAKS = frozenset((ResponseFailure.CLOSED, ResponseFailure.TRUNCATED))
# Answers up to this size are passed on only when they are whole, so that a
# cut or malformed one can still be replaced.
_HOLD_BYTES = 131_072


@final
@attrs.define(eq=False)
class AttemptSender:
    """Makes attempts and judges the responses.

    Args:
        clock: Source of time.
        pool: Connections.
        observer: Learns from responses.
        crashes: Learns which requests crash upstreams.
    """

    _clock: Clock
    _pool: UpstreamPool
    _observer: UpstreamObserver
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
        state.record_request(token, pending.key, now_ms)
        with contextlib.ExitStack() as stack:
            stack.callback(state.record_end, token)
            running = self._crashes.running
            running.assigned(state.upstream.id, token, pending.fingerprint)
            stack.callback(running.ended, state.upstream.id, token)
            return await self._send_counted(pending, state, token)

    async def _send_counted(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        token: int,
    ) -> AttemptOutcome:
        upstream = state.upstream
        connection = self._pool.take(upstream)
        if connection is None:
            connection = await self._pool.connect(upstream)
        if connection is None:
            self._crashes.not_connected(upstream)
            return self._observer.not_connected(state)
        if self._crashes.is_quarantined(pending.fingerprint):
            self._pool.give_back(upstream, connection)
            return NotRun(has_arrived=False)
        exchange = Exchange(
            pending.request,
            connection,
            pending.is_answer,
        )
        now_ms = self._clock.now_ms()
        running = self._crashes.running
        running.sent(token)
        try:
            return await self._exchange(
                RunningAttempt(pending, state, exchange, now_ms),
            )
        except BaseException:
            connection.abort()
            running.left(upstream.id, pending.fingerprint)
            raise

    async def _exchange(self, attempt: RunningAttempt) -> AttemptOutcome:
        pending = attempt.pending
        request = pending.request
        pending.may_have_run = True
        headers = forwarded_headers(
            end_to_end(request.headers),
            max(1, pending.deadline_ms - attempt.began_ms),
            attempt.state.upstream.id,
        )
        exchange = attempt.exchange
        exchange.start(request.target, headers)
        await exchange.send_until(exchange.receiver.wait_for(_HOLD_BYTES))
        return self._judge(attempt)

    def _judge(self, attempt: RunningAttempt) -> AttemptOutcome:
        state = attempt.state
        receiver = attempt.exchange.receiver
        head = receiver.head
        if head is None or receiver.failure:
            return self._broken(attempt, receiver.failure)
        self._observer.saw_head(state, head)
        if not is_misdirected(head):
            self._crashes.answers(state.upstream, attempt.began_ms)
        if says_not_run(head):
            self._release(attempt, is_whole=not is_misdirected(head))
            return self._observer.refused(state, head)
        if not attempt.pending.may_pass_on(head):
            attempt.abort()
            return self._observer.failed(state, ResponseFailure.MALFORMED)
        is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            state.record_refusal()
        else:
            self._observer.answered(attempt)
        return Answered(self._answer(attempt, head), is_failure)

    def _broken(
        self,
        attempt: RunningAttempt,
        failure: ResponseFailure | None,
    ) -> AttemptOutcome:
        attempt.abort()
        seen = failure or ResponseFailure.CLOSED
        self._note_break(attempt, seen)
        return self._observer.failed(attempt.state, seen)

    def _answer(self, attempt: RunningAttempt, head: ResponseHead) -> Answer:
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

    def _end(self, attempt: RunningAttempt, is_whole: bool) -> None:
        """Learn from the end of a response to a request that has run."""
        if is_whole:
            self._crashes.answered(attempt.pending.fingerprint)
        self._note_break(attempt, attempt.exchange.receiver.failure)
        self._release(attempt, is_whole=is_whole)

    def _note_break(
        self,
        attempt: RunningAttempt,
        failure: ResponseFailure | None,
    ) -> None:
        if failure in _BREAKS:
            self._crashes.broke_off(
                attempt.state.upstream,
                attempt.pending.fingerprint,
            )

    def _release(self, attempt: RunningAttempt, *, is_whole: bool) -> None:
        """Keep the connection of a whole response, or close it."""
        if is_whole:
            connection = attempt.exchange.connection
            self._pool.give_back(attempt.state.upstream, connection)
        else:
            attempt.abort()
