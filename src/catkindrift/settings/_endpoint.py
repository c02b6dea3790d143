"""An IP address and a port."""

import ipaddress
from typing import Any, final

import attrs

_MAX_PORT = 65_535


@final
@attrs.frozen
class Endpoint:
    """An address to listen on or to connect to.

    Args:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Read ``IP:port``.

        Raises:
            ValueError: The text has another form; the message shows it.
        """
        host, _, port_text = text.rpartition(':')
        host = host.strip('[]')
        try:
            ipaddress.ip_address(host)
        except ValueError as malformed:
            raise ValueError(
                'an IP number and a port, as 127.0.0.1:8000',
            ) from malformed
        if not port_text.isdigit() or int(port_text) > _MAX_PORT:
            raise ValueError('a port from 0 to 65535 after the last colon')
        return cls(host, int(port_text))

    @property
    def is_loopback(self) -> bool:
        """Return whether only this VM can reach the address."""
        return ipaddress.ip_address(self.host).is_loopback


def check_endpoint(
    _instance: object,
    _attribute: 'attrs.Attribute[Any]',
    text: str,
) -> None:
    """Validate a field that holds ``IP:port``."""
    Endpoint.parse(text)
