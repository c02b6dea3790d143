"""The whole configuration, one object with one revision."""

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
    """What operators have set and what plans have put in force.

    Plans live in the same object as their effects, so one conditional update
    both advances a plan and changes what is in force.

    Args:
        revision: Rises by one with each accepted change.
        services: Services by rising name.
        zones: Availability zones by rising name.
        shifts: Shifts in force.
        drains: Drains in force.
        plans: Proposed, running and recently ended plans.
        basis_revision: Revision that last changed anything a plan is made
            from.
        executor: Entry VM that executes plans.
        executor_epoch: Rises each time the executor changes.
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
        """Return the service called `name`, if there is one."""
        return next((each for each in self.services if each.name == name), None)

    def zone(self, name: str) -> Zone | None:
        """Return the availability zone called `name`, if there is one."""
        return next((each for each in self.zones if each.name == name), None)

    def plan(self, name: str) -> Plan | None:
        """Return the plan called `name`, if there is one."""
        return next((each for each in self.plans if each.name == name), None)

    def region_of(self, zone_name: str) -> str:
        """Return the region of an availability zone, empty when unknown."""
        found = self.zone(zone_name)
        return found.region if found else ''

    @property
    def regions(self) -> tuple[str, ...]:
        """Return all region names in rising order."""
        return tuple(sorted({zone.region for zone in self.zones}))

    def is_drained(self, vm: Vm) -> bool:
        """Return whether a drain covers `vm` or its availability zone."""
        return bool(
            {
                Drain(DrainScope.VM, vm.name),
                Drain(DrainScope.ZONE, vm.zone),
            }
            & set(self.drains),
        )
