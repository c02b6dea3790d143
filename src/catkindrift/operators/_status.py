"""Status messages of the operator API."""

from typing import final

import attrs

from catkindrift.domain import Drain, Plan, Shift


@final
@attrs.frozen
class ZoneStatus:
    """State of an availability zone as one entry VM sees it.

    Args:
        zone: Name of the availability zone.
        region: Region of the availability zone.
        entry_vms: Names of the entry VMs that are alive.
        silent_entry_vms: Names of entry VMs that are in the VM list but not
            alive to this one; they may be partitioned and still serve with an
            older configuration.
        oldest_revision: Oldest configuration revision in force on the entry
            VMs that are alive; 0 if none is alive.
        is_in_force: Whether all listed entry VMs are alive and have the
            newest revision in force.
    """

    zone: str
    region: str
    entry_vms: tuple[str, ...]
    silent_entry_vms: tuple[str, ...]
    oldest_revision: int
    is_in_force: bool


@final
@attrs.frozen
class Headroom:
    """Capacity of a service in a region.

    Args:
        region: Name of the region.
        service: Name of the service.
        slots: Usable slots.
        used: Slots in use or lent.
        waiting: Requests queued for a slot.
        entry_vms: Number of entry VMs that reported their slots.
    """

    region: str
    service: str
    slots: int
    used: int
    waiting: int
    entry_vms: int

    @property
    def free(self) -> int:
        """Return the number of usable slots that are not in use or lent."""
        return self.slots - self.used


@final
@attrs.frozen
class DeploymentStatus:
    """State of the deployment as one entry VM sees it.

    Args:
        vm: Name of the entry VM that reports.
        revision: Configuration revision in force on that VM.
        is_platform_available: Whether its circuit breaker for platform calls
            lets calls through.
        zones: Status of each availability zone.
        drains: Drains in force.
        shifts: Shifts in force.
        plans: Plans that have not ended.
    """

    vm: str
    revision: int
    is_platform_available: bool
    zones: tuple[ZoneStatus, ...]
    drains: tuple[Drain, ...]
    shifts: tuple[Shift, ...]
    plans: tuple[Plan, ...]
