"""Identity and addresses of an entry VM."""

from typing import final

import attrs

from catkindrift.settings._endpoint import Endpoint, check_endpoint


@final
@attrs.frozen
class VmSettings:
    """Identity of the VM.

    Args:
        name: Name of the VM in the platform's VM list.
        zone: Availability zone of the VM.
        region: Region of the availability zone.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    zone: str = attrs.field(validator=attrs.validators.min_len(1))
    region: str = attrs.field(validator=attrs.validators.min_len(1))


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
