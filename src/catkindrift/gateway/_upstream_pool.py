"""Kept connections to upstreams."""

import asyncio
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import ClientConnection
from catkindrift.steering import Upstream, ZoneDistances

_MILLISECONDS_PER_SECOND = 1000
# Idle time after which an upstream that states none may close.
_ASSUMED_KEEP_ALIVE_MS = 8000
# Part of the stated time that is used: a request must not cross the close.
_USED_PART = 0.75
# A connect takes one round trip, and a little on a busy upstream.
_CONNECT_ROUND_TRIPS = 3
_CONNECT_EXTRA_MS = 150


@final
@attrs.define(eq=False)
class UpstreamPool:
    """Connections by the id of the upstream, so that none outlives it.

    Args:
        clock: Source of time.
        distances: Learns from connects.
        metrics: Counts connects.
    """

    _clock: Clock
    _distances: ZoneDistances
    _metrics: GatewayMetrics
    _idle: dict[str, list[ClientConnection]] = attrs.field(
        init=False,
        factory=dict,
    )

    def take(self, upstream: Upstream) -> ClientConnection | None:
        """Return the connection that was used last, if one is fresh."""
        idle = self._idle.get(upstream.id, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection):
                return connection
            connection.abort()
        return None

    async def connect(self, upstream: Upstream) -> ClientConnection | None:
        """Return a new connection, or nothing if the upstream takes none."""
        loop = asyncio.get_running_loop()
        began_ms = self._clock.now_ms()
        expected_ms = self._distances.round_trip_ms(upstream.zone)
        limit_ms = expected_ms * _CONNECT_ROUND_TRIPS + _CONNECT_EXTRA_MS
        try:
            async with asyncio.timeout(limit_ms / _MILLISECONDS_PER_SECOND):
                _, connection = await loop.create_connection(
                    ClientConnection,
                    upstream.host,
                    upstream.port,
                )
        except OSError:
            # A time-out is an OSError too.
            self._metrics.connections_opened.labels('failed').inc()
            return None
        self._metrics.connections_opened.labels('opened').inc()
        took_ms = self._clock.now_ms() - began_ms
        self._distances.learn(upstream.zone, took_ms)
        return connection

    def give_back(
        self,
        upstream: Upstream,
        connection: ClientConnection,
    ) -> None:
        """Keep a connection whose response has come whole, or close it."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(upstream.id, []).append(connection)

    def prune(self, known_ids: frozenset[str]) -> None:
        """Close connections that are old or whose upstream is gone."""
        for upstream_id, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if upstream_id in known_ids and self._is_fresh(connection):
                    kept.append(connection)
                else:
                    connection.abort()
            self._idle[upstream_id] = kept
            if not kept:
                self._idle.pop(upstream_id)

    def _is_fresh(self, connection: ClientConnection) -> bool:
        stated_ms = connection.keep_alive_ms
        if stated_ms is None:
            stated_ms = _ASSUMED_KEEP_ALIVE_MS
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return connection.is_reusable and idle_ms < stated_ms * _USED_PART
