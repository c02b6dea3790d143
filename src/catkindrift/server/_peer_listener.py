"""Listens for other entry VMs."""

import ssl
from typing import final

import attrs
from grpclib.server import Server

from catkindrift.errors import CannotListenError
from catkindrift.settings import Endpoint


@final
@attrs.define(eq=False)
class PeerListener:
    """A server that may be closed whether it has started or not.

    Args:
        server: The server.
        endpoint: Address to listen on.
        tls: Certificate and key, when connections use TLS.
    """

    _server: Server
    _endpoint: Endpoint
    _tls: ssl.SSLContext | None
    _has_started: bool = attrs.field(init=False, default=False)

    async def start(self) -> None:
        """Listen.

        Raises:
            CannotListenError: The address is in use or cannot be bound.
        """
        host = self._endpoint.host
        port = self._endpoint.port
        try:
            await self._server.start(host, port, ssl=self._tls)
        except OSError as failure:
            raise CannotListenError(host, port, failure) from failure
        self._has_started = True

    def close(self) -> None:
        """Stop listening."""
        if self._has_started:
            self._server.close()
