"""Translation of operators' intents into plans."""

from typing import final

import attrs

from catkindrift.domain import (
    BringBackIntent,
    Configuration,
    Drain,
    DrainIntent,
    Intent,
    Plan,
    RegionHeadroom,
    Shift,
    ShiftIntent,
    Step,
    StepKind,
    Vm,
)
from catkindrift.errors import ConflictError, InvalidInputError, NotFoundError
from catkindrift.plans._fleet_view import FleetView

# Successive fractions of the requested percentage as a shift ramps up.
_RAMP_FRACTIONS = (0.25, 0.5, 1.0)


@final
@attrs.frozen
class Planner:
    """Builds plans from one configuration and one snapshot of the VMs.

    Args:
        configuration: The basis of the plans.
        view: State of all VMs as this entry VM sees it.
    """

    _configuration: Configuration
    _view: FleetView

    def plan(self, name: str, intent: Intent) -> Plan:
        """Return a proposed plan, which has no effect until confirmed.

        Args:
            name: Unique name for the plan.
            intent: The change that the operator requests.

        Raises:
            NotFoundError: A service, region, VM, zone or bring-back target
                of the intent does not exist.
            InvalidInputError: Source and target region are the same.
            ConflictError: A shift in force moves the service the opposite
                way, or the drain is already in force.
        """
        match intent:
            case ShiftIntent():
                return self._plan_shift(name, intent)
            case DrainIntent():
                return self._plan_drain(name, intent)
            case BringBackIntent():
                return self._plan_bring_back(name, intent)

    def _plan_shift(self, name: str, intent: ShiftIntent) -> Plan:
        self._check_shift(intent)
        ramp = [
            max(round(intent.percent * part), 1) for part in _RAMP_FRACTIONS
        ]
        steps = [Step(StepKind.START_SHIFT)]
        steps.extend(Step(StepKind.SET_PERCENT, percent) for percent in ramp)
        regions = (intent.source_region, intent.target_region)
        headroom = self._headroom((intent.service,), regions, frozenset())
        return self._build_plan(name, intent, tuple(steps), headroom)

    def _check_shift(self, intent: ShiftIntent) -> None:
        if self._configuration.service(intent.service) is None:
            raise NotFoundError(
                f'no service {intent.service}; list them with GET /services',
            )
        self._check_region(intent.source_region)
        self._check_region(intent.target_region)
        if intent.source_region == intent.target_region:
            raise InvalidInputError(
                'source_region and target_region are the same; name two',
            )
        opposite = self._shift_out_of(intent.target_region, intent.service)
        if opposite is not None:
            raise ConflictError(
                f'shift {opposite.name} moves the service out of the target '
                'region; bring it back first',
            )

    def _check_region(self, region: str) -> None:
        if region not in self._configuration.regions:
            raise NotFoundError(
                f'no region {region}; list zones with GET /zones',
            )

    def _shift_out_of(self, region: str, service: str) -> Shift | None:
        for shift in self._configuration.shifts:
            if shift.service == service and shift.source_region == region:
                return shift
        return None

    def _plan_drain(self, name: str, intent: DrainIntent) -> Plan:
        drain = intent.drain
        if drain in self._configuration.drains:
            raise ConflictError(
                f'{drain.target} is drained already; follow its plan, or bring '
                'it back first',
            )
        drained = self._view.targets(drain)
        if not drained:
            raise NotFoundError(
                f'no {drain.scope.value} {drain.target}; list them with '
                'GET /status',
            )
        zones = {vm.zone for vm in drained}
        region_of = self._configuration.region_of
        regions = tuple(sorted({region_of(zone) for zone in zones}))
        services = tuple(sorted({vm.service for vm in drained if vm.service}))
        names = frozenset(vm.name for vm in drained)
        headroom = self._headroom(services, regions, names)
        steps = (Step(StepKind.START_DRAIN), Step(StepKind.AWAIT_EMPTY))
        return self._build_plan(name, intent, steps, headroom)

    def _plan_bring_back(self, name: str, intent: BringBackIntent) -> Plan:
        target = intent.target
        drained = {drain.target for drain in self._configuration.drains}
        shifts = {shift.name for shift in self._configuration.shifts}
        if target not in drained | shifts:
            raise NotFoundError(
                f'{target} is neither drained nor a shift; see GET /status',
            )
        steps = (Step(StepKind.BRING_BACK),)
        return self._build_plan(name, intent, steps, ())

    def _build_plan(
        self,
        name: str,
        intent: Intent,
        steps: tuple[Step, ...],
        headroom: tuple[RegionHeadroom, ...],
    ) -> Plan:
        return Plan(
            name=name,
            intent=intent,
            basis_revision=self._configuration.basis_revision,
            steps=steps,
            regions=tuple(sorted({each.region for each in headroom})),
            headroom=headroom,
            warnings=_warnings(headroom, self._view.silent_entry_vms),
        )

    def _headroom(
        self,
        services: tuple[str, ...],
        regions: tuple[str, ...],
        drained: frozenset[str],
    ) -> tuple[RegionHeadroom, ...]:
        headroom: list[RegionHeadroom] = []
        for service in services:
            for region in regions:
                serving = self._serving_upstreams(service, region)
                slots = sum(vm.slots for vm in serving)
                remaining = [vm for vm in serving if vm.name not in drained]
                headroom.append(
                    RegionHeadroom(
                        region,
                        service,
                        slots,
                        self._view.used_slots(region, service),
                        sum(vm.slots for vm in remaining),
                    ),
                )
        return tuple(headroom)

    def _serving_upstreams(self, service: str, region: str) -> list[Vm]:
        return [
            vm
            for vm in self._view.upstreams
            if vm.service == service
            and self._configuration.region_of(vm.zone) == region
            and not self._configuration.is_drained(vm)
        ]


def _warnings(
    headroom: tuple[RegionHeadroom, ...],
    silent: tuple[str, ...],
) -> tuple[str, ...]:
    warnings = [
        f'{each.service} in {each.region} would have {each.slots_after} slots '
        f'left for {each.used} in use; excess requests go to other regions or '
        'are refused'
        for each in headroom
        if each.slots_after <= each.used
    ]
    if silent:
        names = ', '.join(silent)
        warnings.append(f'entry VMs without a current record: {names}')
    return tuple(warnings)


def drain_of(plan: Plan) -> Drain | None:
    """Return the drain of a plan, or None for other intents."""
    if isinstance(plan.intent, DrainIntent):
        return plan.intent.drain
    return None
