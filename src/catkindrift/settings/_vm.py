"""Settings of one entry VM."""

from typing import final

import attrs

from catkindrift.settings._endpoint import Endpoint, check_endpoint


@final
@attrs.frozen
class VmSettings:
    """Identity of the VM.

    Args:
        name: Name of the VM in the platform's list.
        zone: Availability zone that it stands in.
        region: Region of that availability zone.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    zone: str = attrs.field(validator=attrs.validators.min_len(1))
    region: str = attrs.field(validator=attrs.validators.min_len(1))


@final
@attrs.frozen
class ListenSettings:
    """Addresses that the VM listens on, each as ``IP:port``.

    Args:
        callers: For look-ups and service requests.
        operators: For the operator API, metrics and health.
        peers: For other entry VMs.
    """

    callers: str = attrs.field(validator=check_endpoint)
    operators: str = attrs.field(validator=check_endpoint)
    peers: str = attrs.field(validator=check_endpoint)

    @property
    def endpoints(self) -> tuple[Endpoint, Endpoint, Endpoint]:
        """Return the three addresses in the order of the fields."""
        return (
            Endpoint.parse(self.callers),
            Endpoint.parse(self.operators),
            Endpoint.parse(self.peers),
        )
