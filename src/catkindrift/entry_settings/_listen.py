"""Addresses of an entry VM."""

from typing import final

import attrs

from catkindrift.settings import Endpoint, check_endpoint


@final
@attrs.frozen
class ListenSettings:
    """Addresses that the VM listens on, each as ``IP:port``.

    Args:
        callers: Look-ups and service requests.
        operators: Operator API, metrics and health checks.
        peers: Exchange with other entry VMs.
    """

    callers: str = attrs.field(validator=check_endpoint)
    operators: str = attrs.field(validator=check_endpoint)
    peers: str = attrs.field(validator=check_endpoint)

    @property
    def endpoints(self) -> tuple[Endpoint, Endpoint, Endpoint]:
        """Parsed addresses of callers, operators and peers."""
        return (
            Endpoint.parse(self.callers),
            Endpoint.parse(self.operators),
            Endpoint.parse(self.peers),
        )
