"""Connections of blocking calls, which can be ended from outside."""

import contextlib
import socket
import weakref
from typing import Any, final

import urllib3
from urllib3.connection import HTTPConnection


@final
class OpenConnections:
    """Knows the connections of an HTTP client and ends their calls."""

    def __init__(self, maxsize: int) -> None:
        """Create the client.

        Args:
            maxsize: Number of connections that are kept.
        """
        self._open: weakref.WeakSet[HTTPConnection] = weakref.WeakSet()
        self.http = urllib3.PoolManager(maxsize=maxsize, retries=False)
        # The platform is reached by plain HTTP.
        pools: dict[str, Any] = {'http': self._pool}
        self.http.pool_classes_by_scheme = pools

    def close(self) -> None:
        """End running calls and close all connections."""
        for connection in tuple(self._open):
            sock = connection.sock
            if sock is not None:
                # The peer may have closed it already.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        self.http.clear()

    def _pool(self, *args: Any, **options: Any) -> urllib3.HTTPConnectionPool:
        pool = urllib3.HTTPConnectionPool(*args, **options)
        pool.ConnectionCls = self._connection  # type: ignore[assignment]
        return pool

    def _connection(self, *args: Any, **options: Any) -> HTTPConnection:
        connection = HTTPConnection(*args, **options)
        self._open.add(connection)
        return connection
