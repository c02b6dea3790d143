"""What operators see of the whole deployment."""

from typing import final

import attrs

from catkindrift.domain import Drain, Plan, Shift


@final
@attrs.frozen
class ZoneStatus:
    """State of an availability zone as one entry VM sees it.

    Args:
        zone: The availability zone.
        region: Its region.
        entry_vms: Entry VMs that are alive.
        silent_entry_vms: Entry VMs that are listed and not heard; they may
            be cut off and still serve by an older configuration.
        oldest_revision: Oldest revision in force among those alive; 0 when
            none is alive.
        is_in_force: All known entry VMs have the newest revision in force.
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
    """Room of a service in a region.

    Args:
        region: The region.
        service: The service.
        slots: Usable slots.
        used: Slots in use or lent.
        waiting: Requests that wait.
        entry_vms: Entry VMs that reported.
    """

    region: str
    service: str
    slots: int
    used: int
    waiting: int
    entry_vms: int

    @property
    def free(self) -> int:
        """Return the slots that are free."""
        return self.slots - self.used


@final
@attrs.frozen
class DeploymentStatus:
    """State of the deployment as one entry VM sees it.

    Args:
        vm: The entry VM that answers.
        revision: Revision in force there.
        is_platform_available: Its recent platform calls were answered.
        zones: Availability zones.
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
