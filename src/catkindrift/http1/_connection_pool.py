"""Pool of idle client connections."""

import asyncio
import functools
from collections.abc import Callable, Container
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.http1._client_connection import ClientConnection

_MILLISECONDS_PER_SECOND = 1000
# Idle timeout assumed for a peer that states none in Keep-Alive.
_DEFAULT_KEEP_ALIVE_MS = 8000
# Reuse connections only for this fraction of the idle timeout, so that a
# request does not cross the close by the peer.
_MAX_IDLE_FRACTION = 0.75


def _ignore_loss(_peer: str) -> None:
    """Ignore a lost connection."""


@final
@attrs.define(eq=False, repr=False)
class ConnectionPool:
    """Idle connections by the id of their peer.

    Ids rather than addresses, so that no connection outlives its peer.

    Args:
        clock: Source of time.
        on_idle_loss: Called with the id of a peer that has closed an idle
            connection before its idle timeout.
    """

    _clock: Clock
    _on_idle_loss: Callable[[str], None] = _ignore_loss
    _idle: dict[str, list[ClientConnection]] = attrs.field(
        init=False,
        factory=dict,
    )
    _open: dict[str, set[ClientConnection]] = attrs.field(
        init=False,
        factory=dict,
    )

    def open_count(self, peer: str) -> int:
        """Return the number of open connections to a peer, idle or not."""
        return len(self._open.get(peer, ()))

    def has_idle(self, peer: str) -> bool:
        """Return whether `take` would return a connection to a peer."""
        return any(map(self._is_fresh, self._idle.get(peer, ())))

    def take(self, peer: str) -> ClientConnection | None:
        """Return the most recently used idle connection, or None.

        Args:
            peer: Id of the peer.
        """
        idle = self._idle.get(peer, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection):
                return connection
            connection.abort()
        return None

    async def connect(
        self,
        peer: str,
        host: str,
        port: int,
        timeout_ms: float,
    ) -> ClientConnection:
        """Open a connection.

        Args:
            peer: Id of the peer.
            host: IP address.
            port: TCP port.
            timeout_ms: Connect timeout in milliseconds.

        Raises:
            OSError: The connect failed or timed out.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_ms / _MILLISECONDS_PER_SECOND):
            _, connection = await loop.create_connection(
                ClientConnection,
                host,
                port,
            )
        connection.connected_ms = self._clock.now_ms()
        connection.on_lost = functools.partial(self._handle_loss, peer)
        self._open.setdefault(peer, set()).add(connection)
        return connection

    def give_back(self, peer: str, connection: ClientConnection) -> None:
        """Return a connection to the pool, or abort it if not reusable."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(peer, []).append(connection)

    def prune(self, known_peers: Container[str]) -> None:
        """Abort connections that are too old or whose peer is unknown."""
        for peer, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if peer in known_peers and self._is_fresh(connection):
                    kept.append(connection)
                else:
                    connection.abort()
            self._idle[peer] = kept
            if not kept:
                self._idle.pop(peer)

    def close(self) -> None:
        """Abort all idle connections."""
        self.prune(())

    def _handle_loss(self, peer: str, connection: ClientConnection) -> None:
        remaining = self._open.get(peer, set())
        remaining.discard(connection)
        if not remaining:
            self._open.pop(peer, None)
        is_idle = connection in self._idle.get(peer, ())
        if is_idle and self._is_recent(connection):
            self._on_idle_loss(peer)

    def _is_fresh(self, connection: ClientConnection) -> bool:
        return connection.is_reusable and self._is_recent(connection)

    def _is_recent(self, connection: ClientConnection) -> bool:
        keep_alive_ms = connection.keep_alive_ms
        if keep_alive_ms is None:
            keep_alive_ms = _DEFAULT_KEEP_ALIVE_MS
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return idle_ms < keep_alive_ms * _MAX_IDLE_FRACTION
