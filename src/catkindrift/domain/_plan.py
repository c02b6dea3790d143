"""Plans that carry out intents step by step."""

import enum
from typing import final

import attrs

from catkindrift.domain._intent import Intent


@final
class PlanState(enum.StrEnum):
    """Progress of a plan."""

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
        amount: Percentage for `SET_PERCENT`, otherwise 0.
        done: Whether the step has taken effect.
    """

    kind: StepKind
    amount: int = 0
    done: bool = False


@final
@attrs.frozen
class RegionHeadroom:
    """Capacity of a service in a region before and after a plan.

    Args:
        region: Name of the region.
        service: Name of the service.
        slots: Number of slots of the service's usable upstreams.
        used: Number of slots in use when the plan was computed.
        slots_after: Number of slots that stay usable after the plan.
    """

    region: str
    service: str
    slots: int
    used: int
    slots_after: int


@final
@attrs.frozen
class Plan:
    """Steps that carry out an intent, with their expected effect.

    Args:
        name: Unique name.
        intent: The intent that the plan carries out.
        basis_revision: `Configuration.basis_revision` when the plan was
            computed; a proposed plan is outdated once the two differ.
        steps: Steps in the order of execution.
        regions: Regions that the plan affects.
        headroom: Expected capacity by service and affected region.
        warnings: Risks that the operator should consider before confirming.
        state: Progress of the plan.
        confirmed_wall_ms: Time of the confirmation, Unix milliseconds; 0
            before.
        stepped_revision: Revision in which the latest step took effect.
        stepped_wall_ms: Time of the latest step, or of the confirmation
            before any step, Unix milliseconds.
        ended_wall_ms: Time of the end, Unix milliseconds; 0 before.
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
        """Return the first step that is not done, or None."""
        for step in self.steps:
            if not step.done:
                return step
        return None

    @property
    def drain_time_ms(self) -> int | None:
        """Return milliseconds from confirmation to end, or None before it."""
        if not self.ended_wall_ms:
            return None
        return self.ended_wall_ms - self.confirmed_wall_ms

    def with_step_done(self, revision: int, wall_ms: int) -> 'Plan':
        """Return a copy of the plan with its next step marked as done.

        The plan is marked as done with its last step.

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
