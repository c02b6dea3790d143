"""Listener for connections of other entry VMs."""

import ssl
from typing import final

import attrs
from grpclib.server import Server

from catkindrift.errors import CannotListenError
from catkindrift.settings import Endpoint


@final
@attrs.define(eq=False, repr=False)
class PeerListener:
    """A gRPC server that can be closed before it has started.

    Args:
        server: Server that handles the calls of other entry VMs.
        endpoint: Address to listen on.
        tls: TLS context with certificate and key; None for plain text.
    """

    _server: Server
    _endpoint: Endpoint
    _tls: ssl.SSLContext | None
    _has_started: bool = attrs.field(init=False, default=False)

    async def start(self) -> None:
        """Bind the address and listen.

        Raises:
            CannotListenError: The address is in use or cannot be bound.
        """
        host = self._endpoint.host
        port = self._endpoint.port
        try:
            await self._server.start(host, port, ssl=self._tls)
        except OSError as error:
            raise CannotListenError(host, port, error) from error
        self._has_started = True

    def close(self) -> None:
        """Stop listening; without effect if not started."""
        if self._has_started:
            self._server.close()
