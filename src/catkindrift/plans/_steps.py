"""Effects of single plan steps; each is idempotent."""

import attrs

from catkindrift.domain import BringBackIntent, Configuration, Plan, Shift
from catkindrift.plans._fleet_view import FleetView
from catkindrift.plans._lifecycle import shift_intent
from catkindrift.plans._planner import drain_of
from catkindrift.plans._shares import divide_cap


def share_holders(
    shift: Shift,
    configuration: Configuration,
    view: FleetView,
) -> frozenset[str]:
    """Return the names of entry VMs that may hold shares of a cap.

    These are the entry VMs alive in the source region of the shift.
    """
    return frozenset(
        vm.name
        for vm in view.entry_vms
        if configuration.region_of(vm.zone) == shift.source_region
    )


def start_shift(
    configuration: Configuration,
    plan: Plan,
    view: FleetView,
) -> Configuration:
    """Put a shift in force at zero percent, with its cap divided."""
    if any(shift.name == plan.name for shift in configuration.shifts):
        return configuration
    intent = shift_intent(plan)
    shift = Shift(
        plan.name,
        intent.service,
        intent.source_region,
        intent.target_region,
        0,
        intent.cap_per_second,
    )
    vms = share_holders(shift, configuration, view)
    shares = divide_cap(shift.name, shift.cap_per_second, vms)
    shift = attrs.evolve(shift, shares=shares)
    return attrs.evolve(configuration, shifts=(*configuration.shifts, shift))


def start_drain(configuration: Configuration, plan: Plan) -> Configuration:
    """Put the drain of a plan in force."""
    drain = drain_of(plan)
    if drain is None or drain in configuration.drains:
        return configuration
    return attrs.evolve(configuration, drains=(*configuration.drains, drain))


def await_empty(
    configuration: Configuration,
    plan: Plan,
    view: FleetView,
) -> Configuration | None:
    """Check that the drained VMs have no outstanding requests.

    Returns:
        The same configuration, or None while a drained VM has requests or an
        entry VM may not have applied the drain.
    """
    drain = drain_of(plan)
    if drain is None:
        return configuration
    if view.lagging_entry_vms(plan.stepped_revision):
        return None
    if any(view.outstanding_requests(vm) for vm in view.targets(drain)):
        return None
    return configuration


def bring_back(configuration: Configuration, plan: Plan) -> Configuration:
    """End the drain or shift that a bring-back intent names."""
    intent = plan.intent
    if not isinstance(intent, BringBackIntent):
        return configuration
    return attrs.evolve(
        configuration,
        shifts=tuple(
            shift
            for shift in configuration.shifts
            if shift.name != intent.target
        ),
        drains=tuple(
            drain
            for drain in configuration.drains
            if drain.target != intent.target
        ),
    )
