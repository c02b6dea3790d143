"""Execution of running plans, one conditional write per step."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import share_release_wait_ms
from catkindrift.domain import (
    Configuration,
    Plan,
    PlanState,
    Shift,
    Step,
    StepKind,
)
from catkindrift.plans._changes import evolve_basis, evolve_configuration
from catkindrift.plans._fleet_view import FleetView
from catkindrift.plans._lifecycle import replace_plan
from catkindrift.plans._shares import redistribute_released, retire_shares
from catkindrift.plans._steps import (
    await_empty,
    bring_back,
    share_holders,
    start_drain,
    start_shift,
)
from catkindrift.rendezvous import rendezvous_order

_RAMP_HOLD_MS = 3000
# Steps that leave plans proposed earlier valid.
_BASIS_PRESERVING_STEPS = frozenset(
    (StepKind.SET_PERCENT, StepKind.AWAIT_EMPTY)
)


@final
@attrs.define(eq=False, repr=False)
class PlanExecutor:
    """Computes the next configuration while plans are running.

    One entry VM holds the executor lease; the configuration stores its name
    and an epoch. The lease lapses when the holder's peer record stops
    advancing. Safety does not depend on the lease: every step is a write
    conditional on the version that it was computed from, so a stale holder's
    write is rejected, and every step is idempotent.

    Args:
        clock: Source of time.
        name: Name of this entry VM.
    """

    _clock: Clock
    _name: str
    _retiring_since_ms: dict[tuple[str, str], int] = attrs.field(
        init=False,
        factory=dict,
    )

    def advance(
        self,
        configuration: Configuration,
        view: FleetView,
    ) -> Configuration | None:
        """Return the configuration after the next step.

        A step either acquires the lease, moves shares of a shift's cap
        between entry VMs, or applies one step of a plan.

        Args:
            configuration: The newest configuration.
            view: State of all VMs as this entry VM sees it.

        Returns:
            The next configuration, or None when no step is due or another
            entry VM holds the lease.
        """
        if not self._has_work(configuration, view):
            return None
        if configuration.executor != self._name:
            return self._acquire_lease(configuration, view)
        return self._advance_shares(configuration, view) or self._advance_plans(
            configuration,
            view,
        )

    def _has_work(self, configuration: Configuration, view: FleetView) -> bool:
        if any(plan.state is PlanState.RUNNING for plan in configuration.plans):
            return True
        return any(
            share.retiring
            or share.vm not in share_holders(shift, configuration, view)
            for shift in configuration.shifts
            for share in shift.shares
        )

    def _acquire_lease(
        self,
        configuration: Configuration,
        view: FleetView,
    ) -> Configuration | None:
        alive = [vm.name for vm in view.entry_vms]
        if configuration.executor in alive:
            return None
        if rendezvous_order('executor', alive)[:1] != [self._name]:
            return None
        return evolve_configuration(
            configuration,
            executor=self._name,
            executor_epoch=configuration.executor_epoch + 1,
        )

    def _advance_plans(
        self,
        configuration: Configuration,
        view: FleetView,
    ) -> Configuration | None:
        for plan in configuration.plans:
            step = plan.next_step
            if plan.state is not PlanState.RUNNING or step is None:
                continue
            stepped = self._apply_step(configuration, plan, step, view)
            if stepped is not None:
                done = plan.with_step_done(
                    configuration.revision + 1,
                    self._clock.wall_ms(),
                )
                change = evolve_basis
                if step.kind in _BASIS_PRESERVING_STEPS:
                    change = evolve_configuration
                return change(stepped, plans=replace_plan(stepped, done))
        return None

    def _apply_step(
        self,
        configuration: Configuration,
        plan: Plan,
        step: Step,
        view: FleetView,
    ) -> Configuration | None:
        match step.kind:
            case StepKind.START_SHIFT:
                return start_shift(configuration, plan, view)
            case StepKind.SET_PERCENT:
                return self._set_percent(configuration, plan, step)
            case StepKind.START_DRAIN:
                return start_drain(configuration, plan)
            case StepKind.AWAIT_EMPTY:
                return await_empty(configuration, plan, view)
            case StepKind.BRING_BACK:
                return bring_back(configuration, plan)

    def _set_percent(
        self,
        configuration: Configuration,
        plan: Plan,
        step: Step,
    ) -> Configuration | None:
        """Raise a shift's percentage, after a hold for caches to warm up."""
        since_step_ms = self._clock.wall_ms() - plan.stepped_wall_ms
        if since_step_ms < _RAMP_HOLD_MS:
            return None
        shifts = tuple(
            attrs.evolve(shift, percent=step.amount)
            if shift.name == plan.name
            else shift
            for shift in configuration.shifts
        )
        return attrs.evolve(configuration, shifts=shifts)

    def _advance_shares(
        self,
        configuration: Configuration,
        view: FleetView,
    ) -> Configuration | None:
        shifts = tuple(
            self._advance_shift(
                shift, share_holders(shift, configuration, view)
            )
            for shift in configuration.shifts
        )
        if shifts == configuration.shifts:
            return None
        return evolve_configuration(configuration, shifts=shifts)

    def _advance_shift(self, shift: Shift, holders: frozenset[str]) -> Shift:
        released = self._releasable_holders(shift)
        if released:
            return redistribute_released(shift, released, holders)
        return retire_shares(shift, holders)

    def _releasable_holders(self, shift: Shift) -> frozenset[str]:
        """Return the retiring holders whose shares must have expired.

        The wait starts when this process first reads the retirement back
        from the platform, so a new executor waits the full time.
        """
        now_ms = self._clock.now_ms()
        released: set[str] = set()
        retiring = {share.vm for share in shift.shares if share.retiring}
        for key in list(self._retiring_since_ms):
            if key[0] == shift.name and key[1] not in retiring:
                self._retiring_since_ms.pop(key)
        for vm in retiring:
            since_ms = self._retiring_since_ms.setdefault(
                (shift.name, vm),
                now_ms,
            )
            if now_ms - since_ms > share_release_wait_ms():
                released.add(vm)
        return frozenset(released)
