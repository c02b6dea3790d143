"""State that an entry VM publishes to the other entry VMs."""

from typing import final

import attrs

from catkindrift.blame import Cleared, Crash
from catkindrift.domain import Vm


@final
@attrs.frozen
class ServiceCapacity:
    """Slots of a service that an entry VM owns.

    Args:
        service: Name of the service.
        slots: Usable slots.
        used: Slots in use or lent.
        waiting: Requests that wait for a slot.
    """

    service: str
    slots: int
    used: int
    waiting: int = 0


@final
@attrs.frozen
class UpstreamLoad:
    """Load that an entry VM puts on an upstream.

    Args:
        upstream: Name of the upstream.
        in_flight: Attempts that have not ended.
        reserved: Slots reserved for or lent to other zones.
    """

    upstream: str
    in_flight: int
    reserved: int = 0


@final
@attrs.frozen
class LeavingUpstream:
    """Observation that an upstream is leaving.

    Args:
        upstream: Name of the upstream.
        age_ms: Time since the last observation.
    """

    upstream: str
    age_ms: int


@final
@attrs.frozen
class PeerRecord:
    """State of one entry VM at one point in time.

    Args:
        vm: Name and addresses.
        region: Region of the VM.
        incarnation: Start time of the process, Unix milliseconds.
        sequence: Increases with each new record of an incarnation.
        revision: Revision of the configuration in force on the VM.
        confirmed_age_ms: Time since the platform, directly or through other
            entry VMs, last confirmed that revision as the newest; -1 if it
            never did.
        is_stopping: Whether the VM is shutting down; new callers should use
            another one.
        pending: Requests in the VM that have no final response.
        capacities: Slots by service.
        loads: Load by upstream, without upstreams that have none.
        leaving: Upstreams that the VM itself observed to be leaving.
        crashes: Upstream crashes during a request, by request fingerprint.
        cleared: Suspect requests that have since completed.
    """

    vm: Vm
    region: str
    incarnation: int
    sequence: int
    revision: int
    confirmed_age_ms: int = -1
    is_stopping: bool = False
    pending: int = 0
    capacities: tuple[ServiceCapacity, ...] = ()
    loads: tuple[UpstreamLoad, ...] = ()
    leaving: tuple[LeavingUpstream, ...] = ()
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Cleared, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Return incarnation and sequence, which order a VM's records."""
        return self.incarnation, self.sequence

    def in_flight_attempts(self, upstream: str) -> int:
        """Return the number of attempts in flight at an upstream."""
        return sum(
            load.in_flight for load in self.loads if load.upstream == upstream
        )
