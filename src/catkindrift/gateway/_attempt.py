"""Sends one request to one upstream."""

import contextlib
import functools
import itertools
from collections.abc import Callable, Iterator
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
from catkindrift.gateway._permitted_headers import headers_for_upstream
from catkindrift.gateway._running_attempt import RunningAttempt
from catkindrift.gateway._upstream_check import Liveness, UpstreamCheck
from catkindrift.gateway._upstream_observer import UpstreamObserver
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.gateway._upstream_response import (
    MAX_BUFFERED_BYTES,
    build_response,
)
from catkindrift.http1 import (
    Exchange,
    ResponseFailure,
    ResponseHead,
)
from catkindrift.platform import (
    forwarded_headers,
    is_misdirected,
    reports_not_run,
)
from catkindrift.steering import (
    ResponseSilence,
    UnseenRestarts,
    Upstream,
    UpstreamState,
)

# How a response fails when the upstream crashes while it is running.
_DISCONNECT_FAILURES = frozenset(
    (ResponseFailure.CLOSED, ResponseFailure.TRUNCATED)
)


@final
@attrs.define(eq=False, repr=False)
class AttemptSender:
    """Sends attempts to upstreams and evaluates the responses.

    Args:
        clock: Source of time.
        pool: Connections to upstreams.
        observer: Updates the state of upstreams from their responses.
        crashes: Tracks which requests crash upstreams.
        check: Health checks of upstreams.
        restarts: Restarts of upstreams that may not have been seen.
        silence: Silence of all upstreams.
        is_eligible: Returns whether an upstream may get requests.
    """

    _clock: Clock
    _pool: UpstreamPool
    _observer: UpstreamObserver
    _crashes: CrashWatch
    _check: UpstreamCheck
    _restarts: UnseenRestarts
    _silence: ResponseSilence
    _is_eligible: Callable[[UpstreamState], bool]
    _tokens: Iterator[int] = attrs.field(
        init=False,
        factory=itertools.count,
    )

    async def send(
        self,
        pending: PendingRequest,
        state: UpstreamState,
    ) -> AttemptOutcome:
        """Send a request to an upstream and return the outcome.

        Cancelling the call closes the connection, so that the upstream stops
        work on the request.

        Args:
            pending: The request.
            state: The upstream that was chosen for it.
        """
        token = next(self._tokens)
        now_ms = self._clock.now_ms()
        pending.was_queued = state.load(now_ms) >= state.upstream.slots
        state.record_request(token, pending.key, now_ms)
        with contextlib.ExitStack() as stack:
            stack.callback(state.record_end, token)
            self._silence.record_request()
            stack.callback(self._silence.record_end)
            running = self._crashes.running
            incarnation = state.upstream.incarnation
            running.assign(incarnation, token, pending.fingerprint)
            stack.callback(running.remove, incarnation, token)
            return await self._connect_and_send(pending, state, token)

    async def _connect_and_send(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        token: int,
    ) -> AttemptOutcome:
        upstream = state.upstream
        connection = self._pool.take(upstream)
        if connection is None and not await self._confirm_start(upstream):
            return NotRun(has_reached_upstream=False)
        if connection is None:
            connection = self._pool.take(upstream)
        if connection is None:
            connection = await self._pool.connect(upstream)
        if connection is None or not connection.is_reusable:
            # An upstream at its connection limit accepts and closes at once.
            # Nothing has been sent, so the request certainly hasn't run.
            self._restarts.expect(upstream.incarnation)
            self._crashes.record_connect_failure(upstream)
            return self._observer.record_connect_failure(state)
        if not self._may_send(pending, state, upstream):
            self._pool.give_back(upstream, connection)
            return NotRun(has_reached_upstream=False)
        exchange = Exchange(
            pending.request,
            connection,
            pending.matches_response,
        )
        now_ms = self._clock.now_ms()
        running = self._crashes.running
        running.mark_sent(token)
        try:
            return await self._exchange(
                RunningAttempt(pending, state, upstream, exchange, now_ms),
            )
        except BaseException:
            connection.abort()
            running.mark_abandoned(upstream.incarnation, pending.fingerprint)
            raise

    def _may_send(
        self, pending: PendingRequest, state: UpstreamState, upstream: Upstream
    ) -> bool:
        """Return whether what was decided before the connect still holds.

        Meanwhile a crash may have been reported, and the upstream may have
        begun to leave, have been replaced or have asked for a pause.
        """
        if state.is_leaving or not self._is_eligible(state):
            return False
        is_paused = state.paused_until_ms > self._clock.now_ms()
        is_replaced = state.upstream.incarnation != upstream.incarnation
        if is_paused or is_replaced:
            return False
        return not self._crashes.is_quarantined(pending.fingerprint)

    async def _confirm_start(self, upstream: Upstream) -> bool:
        """Return whether a request may go to an upstream.

        Without an open connection a restart under the same id is not seen, so
        a health check has to show that this start still runs.
        """
        is_seen = not upstream.born_ms or self._pool.is_connected(upstream)
        if is_seen:
            return True
        connection = await self._pool.connect(upstream)
        if connection is None:
            return True
        liveness = await self._check.confirm(upstream, connection)
        if liveness is Liveness.ENDED:
            self._restarts.expect(upstream.incarnation)
        return liveness is not Liveness.ENDED

    async def _exchange(self, attempt: RunningAttempt) -> AttemptOutcome:
        pending = attempt.pending
        request = pending.request
        pending.may_have_run = True
        headers = forwarded_headers(
            headers_for_upstream(pending),
            pending.upstream_time_ms(attempt.began_ms),
            attempt.upstream.id,
        )
        exchange = attempt.exchange
        exchange.send_head(request.target, headers)
        await exchange.send_until(
            exchange.receiver.wait_for_body(MAX_BUFFERED_BYTES)
        )
        return self._evaluate_response(attempt)

    def _evaluate_response(self, attempt: RunningAttempt) -> AttemptOutcome:
        state = attempt.state
        receiver = attempt.exchange.receiver
        head = receiver.head
        if head is None or receiver.failure:
            return self._handle_broken_response(attempt, receiver.failure)
        self._silence.record_response()
        if not is_misdirected(head):
            self._observer.record_head(state, head)
            self._observer.record_limit(attempt, head)
            self._crashes.record_alive(
                attempt.upstream,
                attempt.began_ms,
                attempt.exchange.connection.connected_ms,
            )
        if reports_not_run(head):
            self._release(attempt, is_whole=not is_misdirected(head))
            return self._observer.record_refusal(state, head)
        if not attempt.pending.may_forward(head):
            attempt.abort()
            return self._observer.record_failure(
                state, ResponseFailure.MALFORMED
            )
        is_failure = _is_server_error(head)
        if is_failure:
            state.record_refusal()
        else:
            self._observer.record_response(attempt)
        finish = functools.partial(self._finish_response, attempt)
        return Answered(build_response(receiver, head, finish), is_failure)

    def _handle_broken_response(
        self,
        attempt: RunningAttempt,
        failure: ResponseFailure | None,
    ) -> AttemptOutcome:
        attempt.abort()
        seen = failure or ResponseFailure.CLOSED
        self._report_disconnect(attempt, seen)
        return self._observer.record_failure(attempt.state, seen)

    def _finish_response(self, attempt: RunningAttempt, is_whole: bool) -> None:
        """Record the end of a response and release its connection.

        Only for requests that have run: a whole response clears suspicion,
        but not a failure, which an upstream may send without running it.
        """
        head = attempt.exchange.receiver.head
        if is_whole and head and not _is_server_error(head):
            self._crashes.clear_suspect(attempt.pending.fingerprint)
        self._report_disconnect(attempt, attempt.exchange.receiver.failure)
        self._release(attempt, is_whole=is_whole)

    def _report_disconnect(
        self,
        attempt: RunningAttempt,
        failure: ResponseFailure | None,
    ) -> None:
        if failure in _DISCONNECT_FAILURES:
            self._crashes.record_disconnect(
                attempt.upstream,
                attempt.pending.fingerprint,
                attempt.exchange.connection.connected_ms,
            )

    def _release(self, attempt: RunningAttempt, *, is_whole: bool) -> None:
        """Return the connection to the pool, or close it.

        Only the connection of a whole response can be reused.
        """
        if is_whole:
            connection = attempt.exchange.connection
            self._pool.give_back(attempt.upstream, connection)
        else:
            attempt.abort()


def _is_server_error(head: ResponseHead) -> bool:
    return head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
