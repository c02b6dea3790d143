"""HTTP server."""

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import CannotListenError
from catkindrift.http1._connection_limit import ConnectionLimit
from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._held_heads import HeldHeads
from catkindrift.http1._rejection import empty_response
from catkindrift.http1._response_queue import Handler
from catkindrift.http1._server_connection import (
    ErrorResponseFactory,
    ServerConnection,
)
from catkindrift.steering import CallerLimits

if TYPE_CHECKING:
    # Slow to load, and unused on the platform.
    import ssl

_BACKLOG = 1024
# Connections that are accepted before any of them is looked at: all of them
# take descriptors.
_ACCEPTED_AT_ONCE = 16
# Interval between checks of idle and header timeouts, and so their precision.
_TIMEOUT_CHECK_SECONDS = 0.25


@final
@attrs.define(eq=False, repr=False)
class HttpServer:
    """Accepts connections at one address.

    Args:
        clock: Source of time.
        handler: Returns the response to a request.
        limits: Returns the current limits.
        error_response: Returns the response to a request that is not valid
            HTTP or exceeds a limit.
        rules: Rules for the headers of requests.
        tls: Context with certificate and key; None for plain TCP.
        held: Memory that heads take on all connections; several servers of a
            process share it.
        limit: Limit on open connections; several servers of a process share
            it.
    """

    _clock: Clock
    _handler: Handler
    _limits: Callable[[], CallerLimits] = CallerLimits
    _error_response: ErrorResponseFactory = empty_response
    _rules: HeaderRules = HeaderRules()
    _tls: 'ssl.SSLContext | None' = None
    _held: HeldHeads = attrs.field(factory=HeldHeads)
    _limit: ConnectionLimit = attrs.field(factory=ConnectionLimit)
    _is_draining: bool = attrs.field(init=False, default=False)
    _is_closed: bool = attrs.field(init=False, default=False)
    _server: asyncio.Server | None = attrs.field(init=False, default=None)
    _timeout_timer: asyncio.TimerHandle | None = attrs.field(
        init=False, default=None
    )
    _connections: set[ServerConnection] = attrs.field(init=False, factory=set)

    @property
    def busy_count(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(each.is_busy for each in self._connections)

    @property
    def sending_count(self) -> int:
        """Return the number of connections with a response being sent."""
        return sum(each.is_sending for each in self._connections)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Listen and start to check timeouts.

        Args:
            host: IP address.
            port: TCP port.

        Raises:
            CannotListenError: The address is in use or cannot be bound.
        """
        try:
            listener = _listen(host, port)
        except OSError as failure:
            raise CannotListenError(host, port, failure) from failure
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connect,
            sock=listener,
            backlog=_ACCEPTED_AT_ONCE,
            ssl=self._tls,
        )
        # The event loop has set the length of the queue to its own limit.
        listener.listen(_BACKLOG)
        self._check_timeouts()

    def drain(self) -> None:
        """Close each connection after a response that leaves none pending.

        New connections are still accepted.
        """
        self._is_draining = True
        for connection in self._connections:
            connection.drain()

    def close_idle(self) -> None:
        """Stop listening and close connections that wait for a request.

        Those with a request in their sockets stay open until it is answered.
        """
        self._is_closed = True
        if self._server:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._timeout_timer:
            self._timeout_timer.cancel()
        self.close_idle()
        for connection in tuple(self._connections):
            connection.close()

    def _connect(self) -> ServerConnection:
        connection = ServerConnection(
            self._clock,
            self._handler,
            self._error_response,
            self._rules,
            self._limits,
            self._connections,
            lambda: self._is_closed,
            self._held,
            self._limit,
        )
        if self._is_draining:
            connection.drain()
        return connection

    def _check_timeouts(self) -> None:
        for connection in tuple(self._connections):
            connection.check_timeouts()
        loop = asyncio.get_running_loop()
        self._timeout_timer = loop.call_later(
            _TIMEOUT_CHECK_SECONDS, self._check_timeouts
        )


def _listen(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    Raises:
        OSError: The address is in use or cannot be bound.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=_BACKLOG
    )
    listener.setblocking(False)
    return listener
