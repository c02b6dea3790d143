"""Encoding and sending of heartbeats."""

import asyncio
from collections.abc import Iterable
from typing import Any, final

import attrs
import msgspec

from catkindrift.settings import Endpoint
from catkindrift.steering import Heartbeat

_DEFAULTS = tuple(
    (field.name, field.default) for field in attrs.fields(Heartbeat)
)


@final
@attrs.define(eq=False, repr=False)
class HeartbeatSender:
    """Sends heartbeats over UDP."""

    transport: asyncio.DatagramTransport | None = attrs.field(
        init=False,
        default=None,
    )
    _endpoints: dict[str, tuple[str, int]] = attrs.field(
        init=False, factory=dict
    )
    _encoder: msgspec.msgpack.Encoder = attrs.field(
        init=False,
        factory=msgspec.msgpack.Encoder,
    )

    def send_whole(
        self, heartbeat: Heartbeat, addresses: Iterable[str]
    ) -> None:
        """Send a heartbeat with all its fields but an absent quota message.

        Args:
            heartbeat: What to send.
            addresses: Receivers.
        """
        self._send(self.encode_whole(heartbeat), addresses)

    def encode_whole(self, heartbeat: Heartbeat) -> bytes:
        """Encode a heartbeat; without workspaces it has no quota message."""
        if heartbeat.quota:
            return self._encoder.encode(heartbeat)
        fields = {name: getattr(heartbeat, name) for name, _ in _DEFAULTS}
        fields.pop('quota')
        return self._encoder.encode(fields)

    def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat without the fields that have their defaults.

        Args:
            heartbeat: What to send.
            addresses: Receivers.
        """
        fields: dict[str, Any] = {}
        for name, default in _DEFAULTS:
            found = getattr(heartbeat, name)
            if found != default:
                fields[name] = found
        self._send(self._encoder.encode(fields), addresses)

    def _send(self, datagram: bytes, addresses: Iterable[str]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for address in addresses:
            receiver = self._endpoints.get(address)
            if receiver is None:
                endpoint = Endpoint.parse(address)
                receiver = (endpoint.host, endpoint.port)
                self._endpoints[address] = receiver
            self.transport.sendto(datagram, receiver)
