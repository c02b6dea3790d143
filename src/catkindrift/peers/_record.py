"""What one entry VM tells the others about itself."""

from typing import final

import attrs

from catkindrift.domain import Vm
from catkindrift.retries import Cleared, Crash


@final
@attrs.frozen
class ServiceCapacity:
    """Slots of a service that an entry VM owns.

    Args:
        service: The service.
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
    """Attempts that an entry VM runs at an upstream.

    Args:
        upstream: The upstream.
        in_flight: Attempts that have not ended.
        reserved: Slots that it keeps for other zones, or has lent to them.
    """

    upstream: str
    in_flight: int
    reserved: int = 0


@final
@attrs.frozen
class LeavingUpstream:
    """An upstream was seen to be leaving.

    Args:
        upstream: The upstream.
        age_ms: Time since it was last seen.
    """

    upstream: str
    age_ms: int


@final
@attrs.frozen
class PeerRecord:
    """State of one entry VM at one moment.

    Args:
        vm: Name and addresses.
        region: Region of the VM.
        incarnation: Start of the process, Unix milliseconds.
        sequence: Rises with each new record of an incarnation.
        revision: Configuration in force there.
        confirmed_age_ms: Time since the platform, directly or through other
            entry VMs, last showed that revision as the newest; -1 for never.
        is_stopping: New callers should go elsewhere.
        pending: Requests in the VM that have no final answer.
        rooms: Slots by service.
        loads: Attempts in flight by upstream, without those that run none.
        leaving: Upstreams that the VM itself saw leaving.
        crashes: Upstreams that broke off, by request.
        cleared: Suspected requests that were answered.
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
        """Return incarnation and sequence, which order records of a VM."""
        return self.incarnation, self.sequence

    def in_flight_attempts(self, upstream: str) -> int:
        """Return the attempts that the VM runs at an upstream."""
        return sum(
            load.in_flight for load in self.loads if load.upstream == upstream
        )
