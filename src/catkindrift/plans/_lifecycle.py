"""State transitions of plans on operators' requests."""

import attrs

from catkindrift.domain import Configuration, Plan, PlanState, ShiftIntent
from catkindrift.errors import ConflictError, NotFoundError
from catkindrift.plans._changes import evolve_basis, evolve_configuration

_MAX_ENDED_PLANS = 20
_ENDED_STATES = frozenset((PlanState.DONE, PlanState.CANCELLED))


def add_plan(configuration: Configuration, plan: Plan) -> Configuration:
    """Add a proposed plan.

    Drops proposed plans that can no longer be confirmed, and the oldest ended
    plans beyond `_MAX_ENDED_PLANS`.
    """
    ended = [
        each for each in configuration.plans if each.state in _ENDED_STATES
    ]
    dropped = {each.name for each in ended[:-_MAX_ENDED_PLANS]}
    kept = [
        each
        for each in configuration.plans
        if each.name not in dropped and not _is_outdated(each, configuration)
    ]
    return evolve_configuration(configuration, plans=(*kept, plan))


def confirm_plan(
    configuration: Configuration,
    name: str,
    wall_ms: int,
) -> Configuration:
    """Start a proposed plan; idempotent.

    Args:
        configuration: The newest configuration.
        name: Name of the plan.
        wall_ms: Current time, Unix milliseconds.

    Raises:
        NotFoundError: No plan has that name.
        ConflictError: The plan is paused or cancelled, or its basis has
            changed since it was proposed.
    """
    plan = _find(configuration, name)
    if plan.state in {PlanState.RUNNING, PlanState.DONE}:
        return configuration
    if plan.state is not PlanState.PROPOSED:
        raise ConflictError(
            f'plan {name} is {plan.state.value}; state the intent again',
        )
    if plan.basis_revision != configuration.basis_revision:
        raise ConflictError(
            f'plan {name} was made from revision {plan.basis_revision}, but '
            f'revision {configuration.basis_revision} changed its basis; '
            'state the intent again and read the new plan',
        )
    running = attrs.evolve(
        plan,
        state=PlanState.RUNNING,
        confirmed_wall_ms=wall_ms,
        stepped_wall_ms=wall_ms,
    )
    return evolve_basis(
        configuration,
        plans=replace_plan(configuration, running),
    )


def pause_plan(configuration: Configuration, name: str) -> Configuration:
    """Pause a running plan before its next step; idempotent.

    Raises:
        NotFoundError: No plan has that name.
        ConflictError: The plan is not running.
    """
    return _transition(configuration, name, PlanState.RUNNING, PlanState.PAUSED)


def resume_plan(configuration: Configuration, name: str) -> Configuration:
    """Resume a paused plan; idempotent.

    Raises:
        NotFoundError: No plan has that name.
        ConflictError: The plan is not paused.
    """
    return _transition(configuration, name, PlanState.PAUSED, PlanState.RUNNING)


def cancel_plan(
    configuration: Configuration,
    name: str,
    wall_ms: int,
) -> Configuration:
    """Cancel a plan and revert what it has put in force; idempotent.

    Args:
        configuration: The newest configuration.
        name: Name of the plan.
        wall_ms: Current time, Unix milliseconds.

    Raises:
        NotFoundError: No plan has that name.
        ConflictError: The plan is done; only a new intent can revert it.
    """
    plan = _find(configuration, name)
    if plan.state is PlanState.CANCELLED:
        return configuration
    if plan.state is PlanState.DONE:
        raise ConflictError(
            f'plan {name} is done; state a bring-back intent to undo it',
        )
    ended = attrs.evolve(
        plan,
        state=PlanState.CANCELLED,
        ended_wall_ms=wall_ms,
    )
    return evolve_basis(
        undo_plan(configuration, plan),
        plans=replace_plan(configuration, ended),
    )


def undo_plan(configuration: Configuration, plan: Plan) -> Configuration:
    """Return the configuration without the shift or drain of a plan."""
    drain = getattr(plan.intent, 'drain', None)
    return attrs.evolve(
        configuration,
        shifts=tuple(
            shift for shift in configuration.shifts if shift.name != plan.name
        ),
        drains=tuple(each for each in configuration.drains if each != drain),
    )


def replace_plan(configuration: Configuration, plan: Plan) -> tuple[Plan, ...]:
    """Return all plans, with the one of the same name replaced."""
    return tuple(
        plan if each.name == plan.name else each for each in configuration.plans
    )


def _is_outdated(plan: Plan, configuration: Configuration) -> bool:
    """Return whether a proposed plan can no longer be confirmed."""
    if plan.state is not PlanState.PROPOSED:
        return False
    return plan.basis_revision != configuration.basis_revision


def _transition(
    configuration: Configuration,
    name: str,
    expected: PlanState,
    target: PlanState,
) -> Configuration:
    plan = _find(configuration, name)
    if plan.state is target:
        return configuration
    if plan.state is not expected:
        raise ConflictError(
            f'plan {name} is {plan.state.value}, not {expected.value}; see '
            f'GET /plans/{name}',
        )
    updated = attrs.evolve(plan, state=target)
    return evolve_configuration(
        configuration, plans=replace_plan(configuration, updated)
    )


def _find(configuration: Configuration, name: str) -> Plan:
    plan = configuration.plan(name)
    if plan is None:
        raise NotFoundError(f'no plan {name}; list them with GET /plans')
    return plan


def shift_intent(plan: Plan) -> ShiftIntent:
    """Return the intent of a plan that moves traffic.

    Raises:
        ConflictError: The plan has another kind of intent.
    """
    if isinstance(plan.intent, ShiftIntent):
        return plan.intent
    raise ConflictError(
        f'plan {plan.name} is not a traffic shift; see its intent'
    )
