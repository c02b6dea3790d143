"""Sends attempts to upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.callers._open_response import OpenResponse
from catkindrift.callers._service_request import ServiceRequest
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.callers._upstream_headers import (
    HEADER_RULES,
    reports_leaving,
    reports_not_run,
)
from catkindrift.clock import Clock
from catkindrift.core import Dispatch
from catkindrift.domain import Vm
from catkindrift.http1 import (
    ClientConnection,
    ConnectionPool,
    Exchange,
    ResponseFailure,
    ResponseHead,
)
from catkindrift.retries import (
    AttemptResult,
    BodyTooLarge,
    Interrupted,
    InterruptedReason,
    NotStarted,
    NotStartedReason,
)

_MILLISECONDS_PER_SECOND = 1000
# Connecting takes one round trip; the farthest regions are 0.3 s apart.
_CONNECT_TIMEOUT_MS = 1000
# Longest body of a refusal that is read so that its connection can be reused.
_MAX_REFUSAL_BYTES = 65_536


@final
@attrs.define(eq=False, repr=False)
class UpstreamSender:
    """Sends requests to upstreams over pooled connections.

    Args:
        clock: Source of time.
        pool: Pool of connections to upstreams.
        limits: Time limits of the requests in progress.
    """

    _clock: Clock
    _pool: ConnectionPool
    _limits: TimeLimits

    async def send(
        self,
        dispatch: Dispatch,
        request: ServiceRequest,
    ) -> OpenResponse | AttemptResult:
        """Send a request and wait for the head of its response.

        Cancellation closes the connection, so that the upstream stops working.

        Args:
            dispatch: Upstream, time limit and body limit.
            request: The caller's request.

        Returns:
            The response if it may be forwarded, otherwise the result of the
            failed attempt.
        """
        due_ms = self._clock.now_ms() + dispatch.time_limit_ms
        try:
            async with self._limits.enforce(due_ms):
                return await self._send(dispatch, request)
        except TimeoutError:
            return Interrupted(InterruptedReason.TIMEOUT, request.can_resend)

    async def is_up(self, upstream: Vm) -> bool:
        """Return whether an upstream accepts a new connection."""
        connection = await self._connect(upstream, _CONNECT_TIMEOUT_MS)
        if connection is None:
            return False
        connection.abort()
        return True

    def prune(self, upstreams: Iterable[Vm]) -> None:
        """Close idle connections that expired or whose upstream is unknown."""
        self._pool.prune(frozenset(map(connection_key, upstreams)))

    def release(self, response: OpenResponse, *, is_whole: bool) -> None:
        """Return the connection to the pool, or close it.

        Args:
            response: Response that ended.
            is_whole: Whether the response is complete, so that the connection
                can be reused.
        """
        connection = response.exchange.connection
        if is_whole:
            self._pool.give_back(response.upstream, connection)
        else:
            connection.abort()

    async def _send(
        self,
        dispatch: Dispatch,
        request: ServiceRequest,
    ) -> OpenResponse | AttemptResult:
        upstream = dispatch.upstream
        connection = self._pool.take(connection_key(upstream))
        if connection is None:
            connection = await self._connect(upstream, dispatch.time_limit_ms)
        if connection is None:
            return NotStarted(
                NotStartedReason.NOT_CONNECTED,
                request.can_resend,
            )
        exchange = Exchange(
            request.message,
            connection,
            _accepts_response,
            dispatch.max_body_bytes,
        )
        try:
            return await self._exchange(exchange, dispatch, request)
        except BaseException:
            connection.abort()
            raise

    async def _exchange(
        self,
        exchange: Exchange,
        dispatch: Dispatch,
        request: ServiceRequest,
    ) -> OpenResponse | AttemptResult:
        started_ms = self._clock.now_ms()
        seconds = dispatch.time_limit_ms / _MILLISECONDS_PER_SECOND
        headers = [
            *(
                each
                for each in HEADER_RULES.forwarded(request.message.headers)
                if each[0].lower() != b'request-timeout'
            ),
            (b'Request-Timeout', b'%.3f' % seconds),
        ]
        if not request.message.header(b'host'):
            # HTTP/1.0 lets a caller leave it out, HTTP/1.1 does not.
            authority = f'{dispatch.upstream.address}:{dispatch.upstream.port}'
            headers.append((b'Host', authority.encode()))
        exchange.send_head(request.target, headers)
        await exchange.send_until(exchange.receiver.wait_for_head())
        return await self._classify_response(
            exchange, dispatch, request, started_ms
        )

    async def _classify_response(
        self,
        exchange: Exchange,
        dispatch: Dispatch,
        request: ServiceRequest,
        started_ms: int,
    ) -> OpenResponse | AttemptResult:
        receiver = exchange.receiver
        head = receiver.head
        if head is None or receiver.failure:
            exchange.connection.abort()
            return _failure_result(receiver.failure, request)
        took_ms = self._clock.now_ms() - started_ms
        name = connection_key(dispatch.upstream)
        response = OpenResponse(name, exchange, head, took_ms)
        if reports_not_run(head):
            await receiver.wait_for_body(_MAX_REFUSAL_BYTES)
            self.release(response, is_whole=receiver.is_complete)
            return NotStarted(
                NotStartedReason.REFUSED_BY_UPSTREAM,
                request.can_resend,
                reports_leaving(head),
            )
        if receiver.ends_with_close:
            # Without framing, a truncated body looks like a complete one.
            exchange.connection.abort()
            return Interrupted(InterruptedReason.INCOMPLETE, can_resend=False)
        return response

    async def _connect(
        self,
        upstream: Vm,
        timeout_ms: int,
    ) -> ClientConnection | None:
        try:
            return await self._pool.connect(
                connection_key(upstream),
                upstream.address,
                upstream.port,
                min(timeout_ms, _CONNECT_TIMEOUT_MS),
            )
        except OSError:
            return None


def connection_key(upstream: Vm) -> str:
    """Return the key under which the pool keeps an upstream's connections."""
    return f'{upstream.name}@{upstream.address}:{upstream.port}'


def _accepts_response(_head: ResponseHead) -> bool:
    """Accept every response; on this interface they carry no request id."""
    return True


def _failure_result(
    failure: ResponseFailure | None,
    request: ServiceRequest,
) -> AttemptResult:
    match failure:
        case ResponseFailure.REQUEST_TOO_LARGE:
            return BodyTooLarge()
        case ResponseFailure.CLOSED:
            return Interrupted(InterruptedReason.RESET, request.can_resend)
    return Interrupted(InterruptedReason.INCOMPLETE, request.can_resend)
