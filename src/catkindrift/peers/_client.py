"""gRPC client for calls to other entry VMs."""

import ssl
from typing import final

import attrs
from grpclib.client import Channel

from catkindrift.peers._service import SECRET_KEY
from catkindrift.peers.protocol import peers_pb2
from catkindrift.peers.protocol.peers_grpc import PeersStub

_CALL_TIMEOUT_SECONDS = 1.0


@final
@attrs.frozen
class PeerAddress:
    """Address where an entry VM listens for its peers.

    Args:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


@final
@attrs.define(eq=False, repr=False)
class PeerClient:
    """Calls other entry VMs over persistent connections.

    Args:
        secret: Secret that all entry VMs share; empty to send none.
        tls: TLS context, or None for connections without TLS.
    """

    _secret: str
    _tls: ssl.SSLContext | None
    _channels: dict[PeerAddress, Channel] = attrs.field(
        init=False,
        factory=dict,
    )

    async def exchange(
        self,
        peer: PeerAddress,
        request: peers_pb2.ExchangeRequest,
    ) -> peers_pb2.ExchangeReply:
        """Exchange records with another entry VM.

        Raises:
            OSError: The peer cannot be reached.
            GRPCError: The peer rejected the call.
            StreamTerminatedError: The connection closed during the call.
            TimeoutError: The peer did not respond in time.
        """
        reply: peers_pb2.ExchangeReply = await self._stub(peer).Exchange(
            request,
            timeout=_CALL_TIMEOUT_SECONDS,
            metadata=self._metadata(),
        )
        return reply

    async def lend(
        self,
        peer: PeerAddress,
        request: peers_pb2.LendRequest,
    ) -> peers_pb2.LendReply:
        """Request slots from another entry VM; raises as `exchange` does."""
        reply: peers_pb2.LendReply = await self._stub(peer).Lend(
            request,
            timeout=_CALL_TIMEOUT_SECONDS,
            metadata=self._metadata(),
        )
        return reply

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels = {}

    def _metadata(self) -> dict[str, str]:
        return {SECRET_KEY: self._secret} if self._secret else {}

    def _stub(self, peer: PeerAddress) -> PeersStub:
        channel = self._channels.get(peer)
        if channel is None:
            channel = Channel(peer.host, peer.port, ssl=self._tls)
            self._channels[peer] = channel
        return PeersStub(channel)
