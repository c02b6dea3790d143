"""A plan that answers an intent."""

import enum
from typing import final

import attrs

from catkindrift.domain._intent import Intent


@final
class PlanState(enum.StrEnum):
    """How far a plan has come."""

    PROPOSED = 'proposed'
    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    CANCELLED = 'cancelled'


@final
class StepKind(enum.StrEnum):
    """What a step of a plan does."""

    START_SHIFT = 'start_shift'
    SET_PERCENT = 'set_percent'
    START_DRAIN = 'start_drain'
    AWAIT_EMPTY = 'await_empty'
    BRING_BACK = 'bring_back'


@final
@attrs.frozen
class Step:
    """One idempotent step of a plan.

    Args:
        kind: What the step does.
        amount: Percent for `SET_PERCENT`, else 0.
        done: Whether the step has taken effect.
    """

    kind: StepKind
    amount: int = 0
    done: bool = False


@final
@attrs.frozen
class RegionHeadroom:
    """Room of a service in a region before and after a plan.

    Args:
        region: The region.
        service: The service.
        slots: Slots of the service's usable upstreams.
        used: Slots in use when the plan was made.
        slots_after: Slots that the plan leaves usable.
    """

    region: str
    service: str
    slots: int
    used: int
    slots_after: int


@final
@attrs.frozen
class Plan:
    """Steps that carry out an intent, and what they are expected to do.

    Args:
        name: Unique name.
        intent: The intent that the plan answers.
        basis_revision: Basis of the configuration that the plan was made
            from.
        steps: Steps in order.
        regions: Regions that the plan affects.
        headroom: Expected room in each affected region.
        warnings: What the operator should weigh before confirming.
        state: How far the plan has come.
        confirmed_wall_ms: When it was confirmed, Unix milliseconds; 0 before.
        stepped_revision: Revision in which its last step took effect.
        stepped_wall_ms: When its last step was done, Unix milliseconds.
        ended_wall_ms: When it ended, Unix milliseconds; 0 before.
    """

    name: str
    intent: Intent
    basis_revision: int
    steps: tuple[Step, ...]
    regions: tuple[str, ...] = ()
    headroom: tuple[RegionHeadroom, ...] = ()
    warnings: tuple[str, ...] = ()
    state: PlanState = PlanState.PROPOSED
    confirmed_wall_ms: int = 0
    stepped_revision: int = 0
    stepped_wall_ms: int = 0
    ended_wall_ms: int = 0

    @property
    def next_step(self) -> Step | None:
        """Return the first step that is not done."""
        for step in self.steps:
            if not step.done:
                return step
        return None

    @property
    def drain_time_ms(self) -> int | None:
        """Return milliseconds from confirmation to the end, when known."""
        if not self.ended_wall_ms:
            return None
        return self.ended_wall_ms - self.confirmed_wall_ms

    def with_step_done(self, revision: int, wall_ms: int) -> 'Plan':
        """Return the plan with its next step done, ended after the last.

        Args:
            revision: Revision in which the step takes effect.
            wall_ms: Time of the change, Unix milliseconds.
        """
        pending = self.next_step
        steps = tuple(
            attrs.evolve(step, done=True) if step is pending else step
            for step in self.steps
        )
        advanced = attrs.evolve(
            self,
            steps=steps,
            stepped_revision=revision,
            stepped_wall_ms=wall_ms,
        )
        if advanced.next_step is not None:
            return advanced
        return attrs.evolve(
            advanced,
            state=PlanState.DONE,
            ended_wall_ms=wall_ms,
        )
