"""Network endpoints in settings."""

import ipaddress
from typing import Any, final

import attrs

_MAX_PORT = 65_535


@final
@attrs.frozen
class Endpoint:
    """IP address and port to listen on or to connect to.

    Args:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Endpoint':
        """Parse ``IP:port``; an IPv6 address may be in brackets.

        Raises:
            ValueError: The text is malformed. The message is the expected
                form, because settings errors print it after "expected".
        """
        host, _, port_text = text.rpartition(':')
        host = host.strip('[]')
        try:
            ipaddress.ip_address(host)
        except ValueError as malformed:
            raise ValueError(
                'an IP address and a port, such as 127.0.0.1:8000',
            ) from malformed
        if not port_text.isdigit() or int(port_text) > _MAX_PORT:
            raise ValueError('a port from 0 to 65535 after the last colon')
        return cls(host, int(port_text))

    @property
    def is_loopback(self) -> bool:
        """Whether the address is reachable only from the same VM."""
        return ipaddress.ip_address(self.host).is_loopback


def check_endpoint(
    _instance: object,
    _attribute: 'attrs.Attribute[Any]',
    text: str,
) -> None:
    """Check that a field holds ``IP:port``.

    Raises:
        ValueError: The text is malformed.
    """
    Endpoint.parse(text)
