"""VMs as the platform lists them."""

import enum
from typing import final

import attrs

_MAX_PORT = 65_535


@final
class VmRole(enum.StrEnum):
    """Role of a VM in the deployment."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


@final
class VmState(enum.StrEnum):
    """Lifecycle state of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@final
@attrs.frozen
class Vm:
    """One VM as the platform lists it.

    Args:
        name: Unique name.
        zone: Availability zone of the VM.
        role: Whether it is an entry VM or an upstream.
        address: IP address.
        port: Port that an entry VM serves callers on, or that an upstream
            serves requests on.
        peer_port: Port for other entry VMs; 0 for upstreams.
        service: Service that an upstream runs; empty for entry VMs.
        slots: Maximum number of requests that an upstream runs at a time.
        state: Whether the VM is live or leaving.
        started_ms: Unix time at which an upstream's process started; 0 if the
            platform does not tell.
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
    started_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Identity of this start; the name alone if the start is unknown."""
        return (
            f'{self.name}@{self.started_ms}' if self.started_ms else self.name
        )
