"""Kept connections to upstreams."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import ClientConnection, ConnectionPool
from catkindrift.steering import Upstream, ZoneDistances

# A connect takes one round trip, and a little on a busy upstream.
_CONNECT_ROUND_TRIPS = 3
_CONNECT_EXTRA_MS = 150


@final
@attrs.define(eq=False)
class UpstreamPool:
    """Connections by the id of the upstream; learns from each connect.

    Args:
        clock: Source of time.
        distances: Learns from connects.
        metrics: Counts connects.
    """

    _clock: Clock
    _distances: ZoneDistances
    _metrics: GatewayMetrics
    _connections: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without connections."""
        self._connections = ConnectionPool(self._clock)

    def take(self, upstream: Upstream) -> ClientConnection | None:
        """Return the connection that was used last, if one is fresh."""
        return self._connections.take(upstream.id)

    async def connect(self, upstream: Upstream) -> ClientConnection | None:
        """Return a new connection, or nothing if the upstream takes none."""
        try:
            return await self.open(upstream)
        except OSError:
            return None

    async def open(self, upstream: Upstream) -> ClientConnection:
        """Return a new connection.

        Raises:
            OSError: The upstream takes none, or did not in time.
        """
        began_ms = self._clock.now_ms()
        expected_ms = self._distances.round_trip_ms(upstream.zone)
        limit_ms = expected_ms * _CONNECT_ROUND_TRIPS + _CONNECT_EXTRA_MS
        try:
            connection = await self._connections.connect(
                upstream.host,
                upstream.port,
                limit_ms,
            )
        except OSError:
            self._metrics.connections_opened.labels('failed').inc()
            raise
        self._metrics.connections_opened.labels('opened').inc()
        took_ms = self._clock.now_ms() - began_ms
        self._distances.add_sample(upstream.zone, took_ms)
        return connection

    def give_back(
        self,
        upstream: Upstream,
        connection: ClientConnection,
    ) -> None:
        """Keep a connection whose response has come whole, or close it."""
        self._connections.give_back(upstream.id, connection)

    def prune(self, known_ids: frozenset[str]) -> None:
        """Close connections that are old or whose upstream is gone."""
        self._connections.prune(known_ids)
