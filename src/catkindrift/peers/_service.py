"""gRPC service that handles calls from other entry VMs."""

import hmac
from typing import Any, Protocol, final

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from catkindrift.peers.protocol import peers_pb2
from catkindrift.peers.protocol.peers_grpc import PeersBase

SECRET_KEY = 'catkindrift-secret'


class PeerHandler(Protocol):
    """Handles requests of other entry VMs."""

    def exchange(
        self,
        request: peers_pb2.ExchangeRequest,
    ) -> peers_pb2.ExchangeReply:
        """Merge the peer's record and return the state that it lacks."""

    def lend(self, request: peers_pb2.LendRequest) -> peers_pb2.LendReply:
        """Lend slots to the peer; the reply may hold no grants."""


@final
@attrs.define(eq=False, repr=False)
class PeersService(PeersBase):
    """Authenticates calls by the shared secret and dispatches them.

    Args:
        handler: Handles the authenticated requests.
        secret: Secret that all entry VMs share; empty on loopback only.
    """

    _handler: PeerHandler
    _secret: str

    async def Exchange(  # noqa: N802
        self,
        stream: Any,
    ) -> None:
        """Handle the Exchange RPC."""
        request = await self._receive(stream)
        await stream.send_message(self._handler.exchange(request))

    async def Lend(  # noqa: N802
        self,
        stream: Any,
    ) -> None:
        """Handle the Lend RPC."""
        request = await self._receive(stream)
        await stream.send_message(self._handler.lend(request))

    async def _receive(self, stream: Any) -> Any:
        presented = str(stream.metadata.get(SECRET_KEY, ''))
        if not hmac.compare_digest(presented.encode(), self._secret.encode()):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                'wrong peer secret; give all entry VMs the same '
                'peers.secret_file',
            )
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(
                Status.INVALID_ARGUMENT, 'no request message; send exactly one'
            )
        return request
