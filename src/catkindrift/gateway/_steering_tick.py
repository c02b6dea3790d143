"""Periodic work of the decisions."""

from typing import final

import attrs

from catkindrift.gateway._facts import Facts
from catkindrift.steering import (
    ColdPace,
    DemandMeter,
    Members,
    Placement,
    RegionLoad,
    RegionPlan,
    SharedRetryBudget,
)


@final
@attrs.define(eq=False)
class SteeringTick:
    """Takes new facts over into plan, pace and budget once a second.

    Args:
        facts: What is known.
        members: Entry VMs.
        placement: Speeds of services.
        plan: Regions that serve a service.
        pace: Cold upstreams.
        budget: Extra attempts.
        demand: This VM's arrivals.
        region: This VM's region.
    """

    _facts: Facts
    _members: Members
    _placement: Placement
    _plan: RegionPlan
    _pace: ColdPace
    _budget: SharedRetryBudget
    _demand: DemandMeter
    _region: str

    def run(self) -> None:
        """Take over what has changed."""
        self._facts.drop_missing()
        self._members.forget_silent()
        names = self._members.names
        self._pace.share_among(names)
        self._pace.keep_only(self._facts.registry.ids)
        self._budget.share_among(len(names))
        rules = self._facts.rules
        self._placement.rules = rules
        usual_ms = {
            service: self._placement.speed(service).usual_ms
            for service in rules
        }
        self._demand.roll(usual_ms)
        demand = self._demand_by_region()
        for service in rules:
            self._plan.update(service, self._loads(service, demand))

    def _demand_by_region(self) -> dict[str, dict[str, float]]:
        demand = self._members.demand()
        own = demand.setdefault(self._region, {})
        for service, slots in self._demand.slots.items():
            own[service] = own.get(service, 0) + slots
        return demand

    def _loads(
        self,
        service: str,
        demand: dict[str, dict[str, float]],
    ) -> dict[str, RegionLoad]:
        registry = self._facts.registry
        slots = dict.fromkeys(self._facts.regions.values(), 0)
        for state in registry.of_service(service):
            region = state.upstream.region
            if region in slots and registry.is_open(state):
                slots[region] += state.upstream.slots
        return {
            region: RegionLoad(
                count,
                demand.get(region, {}).get(service, 0),
            )
            for region, count in slots.items()
        }
