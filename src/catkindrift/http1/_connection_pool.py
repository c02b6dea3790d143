"""Kept connections on which this process sends requests."""

import asyncio
from collections.abc import Container
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.http1._client_connection import ClientConnection

_MILLISECONDS_PER_SECOND = 1000
# Idle time after which a peer that states none may close.
_DEFAULT_KEEP_ALIVE_MS = 8000
# Part of the stated time that is used: a request must not cross the close.
_MAX_IDLE_FRACTION = 0.75


@final
@attrs.define(eq=False)
class ConnectionPool:
    """Connections by the id of the peer, so that none outlives it.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _idle: dict[str, list[ClientConnection]] = attrs.field(
        init=False,
        factory=dict,
    )

    def take(self, peer: str) -> ClientConnection | None:
        """Return the connection that was used last, if one is fresh."""
        idle = self._idle.get(peer, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection):
                return connection
            connection.abort()
        return None

    async def connect(
        self,
        host: str,
        port: int,
        limit_ms: float,
    ) -> ClientConnection:
        """Return a new connection.

        Raises:
            OSError: There was none within the limit.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limit_ms / _MILLISECONDS_PER_SECOND):
            _, connection = await loop.create_connection(
                ClientConnection,
                host,
                port,
            )
        return connection

    def give_back(self, peer: str, connection: ClientConnection) -> None:
        """Keep a connection whose response has come whole, or close it."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(peer, []).append(connection)

    def prune(self, known: Container[str]) -> None:
        """Close connections that are old or whose peer is gone."""
        for peer, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if peer in known and self._is_fresh(connection):
                    kept.append(connection)
                else:
                    connection.abort()
            self._idle[peer] = kept
            if not kept:
                self._idle.pop(peer)

    def close(self) -> None:
        """Close all connections that are idle."""
        self.prune(())

    def _is_fresh(self, connection: ClientConnection) -> bool:
        stated_ms = connection.keep_alive_ms
        if stated_ms is None:
            stated_ms = _DEFAULT_KEEP_ALIVE_MS
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return (
            connection.is_reusable and idle_ms < stated_ms * _MAX_IDLE_FRACTION
        )
