"""A VM of the platform's VM list."""

import enum
from typing import final

import attrs

_MAX_PORT = 65_535


@final
class VmRole(enum.StrEnum):
    """What a VM does in the deployment."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


@final
class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
@attrs.frozen
class Vm:
    """One VM as the platform lists it.

    Args:
        name: Unique name.
        zone: Availability zone that the VM stands in.
        role: Entry VM or upstream.
        address: IP address.
        port: Port for callers, or of the upstream's server.
        peer_port: Port for other entry VMs; 0 for upstreams.
        service: Service that an upstream serves; empty for entry VMs.
        slots: Requests that an upstream runs at the same time.
        state: Live or leaving.
    """

    name: str
    zone: str
    role: VmRole
    address: str
    port: int = attrs.field(
        validator=[attrs.validators.ge(1), attrs.validators.le(_MAX_PORT)],
    )
    peer_port: int = 0
    service: str = ''
    slots: int = 0
    state: VmState = VmState.LIVE
