"""Pool of connections to upstreams."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import ClientConnection, ConnectionPool
from catkindrift.steering import Upstream, UpstreamReachability, ZoneDistances

# Connect timeout: a connect takes one round trip, and somewhat longer at a
# busy upstream.
_CONNECT_ROUND_TRIPS = 3
_CONNECT_EXTRA_MS = 150


@final
@attrs.define(eq=False, repr=False)
class UpstreamPool:
    """Pools connections by start of an upstream; measures connect times.

    Args:
        clock: Source of time.
        distances: Round-trip times to zones, updated by each connect.
        metrics: Counts opened connections and failed connects.
        on_connect: Called with the incarnation of an upstream that has
            accepted a connection.
        on_idle_loss: Called with the incarnation of an upstream that has
            closed an idle connection before its idle timeout.
        reachability: Evidence of connects that succeed or fail.
    """

    _clock: Clock
    _distances: ZoneDistances
    _metrics: GatewayMetrics
    _on_connect: Callable[[str], None]
    _on_idle_loss: Callable[[str], None]
    _reachability: UpstreamReachability
    _connections: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create an empty pool."""
        self._connections = ConnectionPool(self._clock, self._on_idle_loss)

    def take(self, upstream: Upstream) -> ClientConnection | None:
        """Return the most recently used idle connection, or None."""
        return self._connections.take(upstream.incarnation)

    def has_idle(self, upstream: Upstream) -> bool:
        """Return whether an idle connection to this incarnation is open."""
        return self._connections.has_idle(upstream.incarnation)

    def is_connected(self, upstream: Upstream) -> bool:
        """Return whether any connection to this incarnation is open."""
        return self._connections.open_count(upstream.incarnation) > 0

    async def connect(self, upstream: Upstream) -> ClientConnection | None:
        """Return a new connection, or None if the connect failed."""
        try:
            return await self.open(upstream)
        except OSError:
            return None

    async def open(self, upstream: Upstream) -> ClientConnection:
        """Return a new connection.

        Raises:
            OSError: The upstream refused the connection or timed out.
        """
        began_ms = self._clock.now_ms()
        expected_ms = self._distances.round_trip_ms(upstream.zone)
        limit_ms = expected_ms * _CONNECT_ROUND_TRIPS + _CONNECT_EXTRA_MS
        try:
            connection = await self._connections.connect(
                upstream.incarnation,
                upstream.host,
                upstream.port,
                limit_ms,
            )
        except OSError:
            self._metrics.upstream_connections_opened.labels('failed').inc()
            self._reachability.record_failed_connect(upstream.incarnation)
            raise
        self._metrics.upstream_connections_opened.labels('opened').inc()
        took_ms = self._clock.now_ms() - began_ms
        self._distances.add_sample(upstream.zone, took_ms)
        self._reachability.record_connect(began_ms)
        self._on_connect(upstream.incarnation)
        return connection

    def give_back(
        self,
        upstream: Upstream,
        connection: ClientConnection,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        self._connections.give_back(upstream.incarnation, connection)

    def prune(self, incarnations: frozenset[str]) -> None:
        """Close expired connections and those of unlisted incarnations."""
        self._connections.prune(incarnations)
