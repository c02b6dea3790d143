"""The configuration in force, with what is derived from it."""

from typing import final

import attrs

from catkindrift.domain import (
    Configuration,
    Drain,
    DrainIntent,
    DrainScope,
    PlanState,
    Service,
    Shift,
    Vm,
)
from catkindrift.routing import BlockTable


@final
@attrs.frozen
class ActiveConfiguration:
    """A configuration prepared for fast decisions.

    Args:
        configuration: The configuration.
        blocks: Client blocks of all zones.
    """

    configuration: Configuration
    blocks: BlockTable
    _services: dict[str, Service]
    _drains: frozenset[Drain]
    _proposed_drains: frozenset[Drain]

    @classmethod
    def prepare(cls, configuration: Configuration) -> 'ActiveConfiguration':
        """Derive all look-ups from a configuration."""
        proposed_drains = frozenset(
            plan.intent.drain
            for plan in configuration.plans
            if isinstance(plan.intent, DrainIntent)
            and plan.state is PlanState.PROPOSED
        )
        return cls(
            configuration,
            BlockTable.build(configuration.zones),
            {service.name: service for service in configuration.services},
            frozenset(configuration.drains),
            proposed_drains,
        )

    @property
    def revision(self) -> int:
        """Return the revision of the configuration."""
        return self.configuration.revision

    def service(self, name: str) -> Service | None:
        """Return the service called `name`, if there is one."""
        return self._services.get(name)

    def is_drained(self, vm: Vm) -> bool:
        """Return whether a drain in force covers a VM."""
        return _covers(self._drains, vm)

    def is_drain_proposed(self, vm: Vm) -> bool:
        """Return whether a proposed plan would drain a VM."""
        return _covers(self._proposed_drains, vm)

    def shifts_from(self, region: str, service: str) -> list[Shift]:
        """Return the shifts that move a service away from a region."""
        return [
            shift
            for shift in self.configuration.shifts
            if shift.source_region == region and shift.service == service
        ]


def _covers(drains: frozenset[Drain], vm: Vm) -> bool:
    if not drains:
        return False
    return (
        Drain(DrainScope.VM, vm.name) in drains
        or Drain(DrainScope.ZONE, vm.zone) in drains
    )
