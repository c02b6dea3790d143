"""What operators do with a plan."""

import attrs

from catkindrift.domain import Configuration, Plan, PlanState, ShiftIntent
from catkindrift.errors import ConflictError, NotFoundError
from catkindrift.plans._changes import evolve_basis, evolve_configuration

_MAX_ENDED_PLANS = 20
_ENDED_STATES = frozenset((PlanState.DONE, PlanState.CANCELLED))


def add_plan(configuration: Configuration, plan: Plan) -> Configuration:
    """Keep a proposed plan, and forget the oldest that have ended."""
    ended = [
        each for each in configuration.plans if each.state in _ENDED_STATES
    ]
    forgotten = {each.name for each in ended[:-_MAX_ENDED_PLANS]}
    kept = [
        each
        for each in configuration.plans
        if each.name not in forgotten and not _is_outdated(each, configuration)
    ]
    return evolve_configuration(configuration, plans=(*kept, plan))


def confirm_plan(
    configuration: Configuration,
    name: str,
    wall_ms: int,
) -> Configuration:
    """Let a proposed plan run.

    Confirming twice has the effect of confirming once.

    Raises:
        NotFoundError: There is no such plan.
        ConflictError: It was made from a state that has changed, or ended.
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
    """Hold a running plan before its next step."""
    return _transition(configuration, name, PlanState.RUNNING, PlanState.PAUSED)


def resume_plan(configuration: Configuration, name: str) -> Configuration:
    """Let a paused plan go on."""
    return _transition(configuration, name, PlanState.PAUSED, PlanState.RUNNING)


def cancel_plan(
    configuration: Configuration,
    name: str,
    wall_ms: int,
) -> Configuration:
    """End a plan and undo what it has put in force.

    Raises:
        NotFoundError: There is no such plan.
        ConflictError: It has ended; a new intent has to undo it.
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
    """Return the configuration without the effects of a plan."""
    drain = getattr(plan.intent, 'drain', None)
    return attrs.evolve(
        configuration,
        shifts=tuple(
            shift for shift in configuration.shifts if shift.name != plan.name
        ),
        drains=tuple(each for each in configuration.drains if each != drain),
    )


def replace_plan(configuration: Configuration, plan: Plan) -> tuple[Plan, ...]:
    """Return the plans with one replaced by its new state."""
    return tuple(
        plan if each.name == plan.name else each for each in configuration.plans
    )


def _is_outdated(plan: Plan, configuration: Configuration) -> bool:
    """Return whether a proposed plan could not be confirmed any more."""
    if plan.state is not PlanState.PROPOSED:
        return False
    return plan.basis_revision != configuration.basis_revision


def _transition(
    configuration: Configuration,
    name: str,
    expected: PlanState,
    wanted: PlanState,
) -> Configuration:
    plan = _find(configuration, name)
    if plan.state is wanted:
        return configuration
    if plan.state is not expected:
        raise ConflictError(
            f'plan {name} is {plan.state.value}, not {expected.value}; see '
            f'GET /plans/{name}',
        )
    moved = attrs.evolve(plan, state=wanted)
    return evolve_configuration(
        configuration, plans=replace_plan(configuration, moved)
    )


def _find(configuration: Configuration, name: str) -> Plan:
    plan = configuration.plan(name)
    if plan is None:
        raise NotFoundError(f'no plan {name}; list them with GET /plans')
    return plan


def shift_intent(plan: Plan) -> ShiftIntent:
    """Return the intent of a plan that moves traffic.

    Raises:
        ConflictError: The plan does something else.
    """
    if isinstance(plan.intent, ShiftIntent):
        return plan.intent
    raise ConflictError(f'plan {plan.name} moves no traffic; see its intent')
