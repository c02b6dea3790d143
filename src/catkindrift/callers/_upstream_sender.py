"""Attempts at upstreams."""

import asyncio
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.callers._open_response import OpenResponse
from catkindrift.callers._service_request import ServiceRequest
from catkindrift.callers._upstream_headers import says_leaving, says_not_run
from catkindrift.clock import Clock
from catkindrift.core import Dispatch
from catkindrift.domain import Vm
from catkindrift.http1 import (
    ClientConnection,
    ConnectionPool,
    Exchange,
    ResponseFailure,
    ResponseHead,
    end_to_end,
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
# A connect takes one round trip; the farthest regions are 0.3 s apart.
_CONNECT_LIMIT_MS = 1000
# Bytes of a refusal that are read so that its connection can be kept.
_REFUSAL_BYTES = 65_536


@final
@attrs.define(eq=False)
class UpstreamSender:
    """Sends requests to upstreams over connections that stay open.

    Args:
        clock: Source of time.
        pool: Connections.
    """

    _clock: Clock
    _pool: ConnectionPool

    async def send(
        self,
        dispatch: Dispatch,
        request: ServiceRequest,
    ) -> OpenResponse | AttemptResult:
        """Send a request and wait for the head of its response.

        When cancelled, closes the connection, so that the upstream stops.
        """
        limit_s = dispatch.time_limit_ms / _MILLISECONDS_PER_SECOND
        try:
            async with asyncio.timeout(limit_s):
                return await self._send(dispatch, request)
        except TimeoutError:
            return Interrupted(InterruptedReason.TIMEOUT, request.can_resend)

    async def is_up(self, upstream: Vm) -> bool:
        """Return whether an upstream takes a new connection."""
        connection = await self._connect(upstream, _CONNECT_LIMIT_MS)
        if connection is None:
            return False
        connection.abort()
        return True

    def prune(self, upstreams: Iterable[Vm]) -> None:
        """Close idle connections that are old or lead to no known upstream."""
        self._pool.prune(frozenset(map(peer_id, upstreams)))

    def end(self, response: OpenResponse, *, is_whole: bool) -> None:
        """Keep the connection of a whole response, or close it."""
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
        connection = self._pool.take(peer_id(upstream))
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
            _is_own,
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
        began_ms = self._clock.now_ms()
        seconds = dispatch.time_limit_ms / _MILLISECONDS_PER_SECOND
        headers = [
            *(
                each
                for each in end_to_end(request.message.headers)
                if each[0].lower() != b'request-timeout'
            ),
            (b'Request-Timeout', b'%.3f' % seconds),
        ]
        exchange.send_head(request.target, headers)
        await exchange.send_until(exchange.receiver.wait_for_head())
        return await self._judge(exchange, dispatch, request, began_ms)

    async def _judge(
        self,
        exchange: Exchange,
        dispatch: Dispatch,
        request: ServiceRequest,
        began_ms: int,
    ) -> OpenResponse | AttemptResult:
        receiver = exchange.receiver
        head = receiver.head
        if head is None or receiver.failure:
            exchange.connection.abort()
            return _failed(receiver.failure, request)
        took_ms = self._clock.now_ms() - began_ms
        name = peer_id(dispatch.upstream)
        response = OpenResponse(name, exchange, head, took_ms)
        if says_not_run(head):
            await receiver.wait_for_body(_REFUSAL_BYTES)
            self.end(response, is_whole=receiver.is_complete)
            return NotStarted(
                NotStartedReason.REFUSED_BY_UPSTREAM,
                request.can_resend,
                says_leaving(head),
            )
        if receiver.ends_with_close:
            # Nobody could tell a whole body from a cut one.
            exchange.connection.abort()
            return Interrupted(InterruptedReason.INCOMPLETE, can_resend=False)
        return response

    async def _connect(
        self,
        upstream: Vm,
        limit_ms: int,
    ) -> ClientConnection | None:
        try:
            return await self._pool.connect(
                upstream.address,
                upstream.port,
                min(limit_ms, _CONNECT_LIMIT_MS),
            )
        except OSError:
            return None


def peer_id(upstream: Vm) -> str:
    """Return what connections to an upstream are kept by."""
    return f'{upstream.name}@{upstream.address}:{upstream.port}'


def _is_own(_head: ResponseHead) -> bool:
    """Upstreams of this interface name no request in their responses."""
    return True


def _failed(
    failure: ResponseFailure | None,
    request: ServiceRequest,
) -> AttemptResult:
    match failure:
        case ResponseFailure.REQUEST_TOO_LARGE:
            return BodyTooLarge()
        case ResponseFailure.CLOSED:
            return Interrupted(InterruptedReason.RESET, request.can_resend)
    return Interrupted(InterruptedReason.INCOMPLETE, request.can_resend)
