"""Health checks of upstreams whose connections were lost."""

import asyncio
import enum
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.http1 import (
    ClientConnection,
    ResponseHead,
    ResponseReceiver,
    encode_head,
)
from catkindrift.platform import (
    health_headers,
    is_other_upstream,
    stated_start_ms,
)
from catkindrift.steering import Upstream

# An upstream under full load queues health checks too.
_RESPONSE_TIMEOUT_SECONDS = 1.0
# A connection is reused only if the whole response fits into this.
_MAX_RESPONSE_BYTES = 65_536


@final
class Liveness(enum.Enum):
    """Result of a health check."""

    ENDED = 'ended'
    ALIVE = 'alive'
    # The id responds, but a new start of the upstream may have kept it.
    UNPROVEN = 'unproven'
    UNKNOWN = 'unknown'
    # It accepts connections, and sends nothing on them.
    SILENT = 'silent'


@final
@attrs.define(eq=False, repr=False)
class UpstreamCheck:
    """Checks whether an upstream is still running as the same incarnation.

    An accepted connection alone does not show that: a process that is ending
    may still accept one, and its successor soon does at the same address. If
    upstreams state their start, neither does the id; a response on an older
    connection does, or one that states the start.

    Args:
        pool: Connections to upstreams.
        health_path: Returns the path of a service's health checks; empty for
            an unknown service.
    """

    _pool: UpstreamPool
    _health_path: Callable[[str], str]

    async def probe(self, upstream: Upstream) -> Liveness:
        """Send one health check and return its result."""
        idle = self._pool.take(upstream) if upstream.born_ms else None
        if idle and await self._has_responded(upstream, idle):
            return Liveness.ALIVE
        try:
            connection = await self._pool.open(upstream)
        except ConnectionRefusedError:
            return Liveness.ENDED
        except OSError:
            return Liveness.UNKNOWN
        return await self._send_health_check(upstream, connection)

    async def confirm(
        self, upstream: Upstream, connection: ClientConnection
    ) -> Liveness:
        """Check on a new connection which start of an upstream accepted it.

        Afterwards the connection is in the pool, if it can be reused.
        """
        return await self._send_health_check(upstream, connection)

    async def _has_responded(
        self, upstream: Upstream, connection: ClientConnection
    ) -> bool:
        """Return whether the peer of an older connection responds on it."""
        liveness = await self._send_health_check(upstream, connection)
        has_responded = liveness in {Liveness.ALIVE, Liveness.UNPROVEN}
        return has_responded and connection.is_reusable

    async def _send_health_check(
        self,
        upstream: Upstream,
        connection: ClientConnection,
    ) -> Liveness:
        receiver = ResponseReceiver(_accept_any, connection.resume_reading)
        path = self._health_path(upstream.service)
        if not path:
            self._pool.give_back(upstream, connection)
            return Liveness.UNKNOWN
        connection.expect_response(receiver)
        connection.write(
            encode_head(
                f'GET {path} HTTP/1.1'.encode(),
                health_headers(upstream.host, upstream.port, upstream.id),
            ),
        )
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_SECONDS):
                await receiver.wait_for_body(_MAX_RESPONSE_BYTES)
        except TimeoutError:
            connection.abort()
            return _liveness_of_busy(upstream)
        body = receiver.take_buffered()
        self._pool.give_back(upstream, connection)
        return _liveness_from(receiver.head, body, upstream)


def _liveness_of_busy(upstream: Upstream) -> Liveness:
    """Return what a connection shows on which no response comes in time.

    The upstream may be busy, or another process keeps its port open.
    """
    return Liveness.UNPROVEN if upstream.born_ms else Liveness.SILENT


def _liveness_from(
    head: ResponseHead | None, body: bytes, upstream: Upstream
) -> Liveness:
    if head is None:
        return Liveness.UNKNOWN
    if is_other_upstream(head, upstream.id):
        return Liveness.ENDED
    if not upstream.born_ms:
        return Liveness.ALIVE
    stated_ms = stated_start_ms(body)
    if stated_ms == 0:
        return Liveness.UNPROVEN
    return Liveness.ALIVE if stated_ms == upstream.born_ms else Liveness.ENDED


def _accept_any(_head: ResponseHead) -> bool:
    return True
