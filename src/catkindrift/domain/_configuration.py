"""The configuration of the fleet, a single versioned object."""

from typing import final

import attrs

from catkindrift.domain._drain import Drain, DrainScope
from catkindrift.domain._plan import Plan
from catkindrift.domain._service import Service
from catkindrift.domain._shift import Shift
from catkindrift.domain._vm import Vm
from catkindrift.domain._zone import Zone


@final
@attrs.frozen
class Configuration:
    """Settings of the operators and the effects of their plans.

    Plans are stored in the same object as their effects, so a single
    conditional update both advances a plan and applies its effect.

    Args:
        revision: Incremented by one with each accepted change.
        services: Services, sorted by name.
        zones: Availability zones, sorted by name.
        shifts: Shifts in force.
        drains: Drains in force.
        plans: Proposed, running and recently ended plans.
        basis_revision: Revision of the last change to anything that plans
            are computed from; plans proposed before it are outdated.
        executor: Entry VM that executes plans.
        executor_epoch: Incremented each time the executor changes.
    """

    revision: int = 0
    services: tuple[Service, ...] = ()
    zones: tuple[Zone, ...] = ()
    shifts: tuple[Shift, ...] = ()
    drains: tuple[Drain, ...] = ()
    plans: tuple[Plan, ...] = ()
    basis_revision: int = 0
    executor: str = ''
    executor_epoch: int = 0

    def service(self, name: str) -> Service | None:
        """Return the service with a name, or None."""
        return next((each for each in self.services if each.name == name), None)

    def zone(self, name: str) -> Zone | None:
        """Return the availability zone with a name, or None."""
        return next((each for each in self.zones if each.name == name), None)

    def plan(self, name: str) -> Plan | None:
        """Return the plan with a name, or None."""
        return next((each for each in self.plans if each.name == name), None)

    def region_of(self, zone_name: str) -> str:
        """Return the region of an availability zone, empty when unknown."""
        found = self.zone(zone_name)
        return found.region if found else ''

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the names of all regions, sorted."""
        return tuple(sorted({zone.region for zone in self.zones}))

    def is_drained(self, vm: Vm) -> bool:
        """Return whether a drain in force covers `vm` or its zone."""
        return bool(
            {
                Drain(DrainScope.VM, vm.name),
                Drain(DrainScope.ZONE, vm.zone),
            }
            & set(self.drains),
        )
