"""State transitions of plans: confirm, pause, resume and cancel."""

import pytest

from catkindrift.domain import Drain, DrainIntent, DrainScope, PlanState
from catkindrift.errors import ConflictError, NotFoundError
from catkindrift.plans import (
    Planner,
    add_plan,
    cancel_plan,
    confirm_plan,
    pause_plan,
    put_service,
    resume_plan,
)
from tests.fakes import SERVICES, Fleet

NORTH = 'north-1-a'
NAME = 'plan-1'


@pytest.fixture
def fleet():
    """Return a fleet with a proposed plan that drains one upstream."""
    fleet_with_plan = Fleet()
    intent = DrainIntent(Drain(DrainScope.VM, 'read-north-1-0'))
    planner = Planner(
        fleet_with_plan.configuration,
        fleet_with_plan.view(NORTH),
    )
    plan = planner.plan(NAME, intent)
    fleet_with_plan.configuration = add_plan(
        fleet_with_plan.configuration,
        plan,
    )
    return fleet_with_plan


class TestLifecycle:
    """Operator actions on a plan."""

    def test_nothing_moves_before_confirmation(self, fleet):
        """The executor must not start a plan before it is confirmed."""
        fleet.advance(3000)
        assert not fleet.configuration.drains

    def test_paused_plan_takes_no_step(self, fleet):
        """A paused plan takes no step until it is resumed, then completes."""
        running = confirm_plan(fleet.configuration, NAME, 1)
        fleet.configuration = pause_plan(running, NAME)
        fleet.advance(3000)
        assert not fleet.configuration.drains
        fleet.configuration = resume_plan(fleet.configuration, NAME)
        fleet.advance(3000)
        assert fleet.configuration.plan(NAME).state is PlanState.DONE

    def test_cancelled_plan_is_undone(self, fleet):
        """Cancelling ends the drain; a second cancel changes nothing."""
        fleet.arrive(NORTH, 'read')
        fleet.arrive(NORTH, 'read')
        fleet.configuration = confirm_plan(fleet.configuration, NAME, 1)
        fleet.advance(2000)
        assert fleet.configuration.drains
        fleet.configuration = cancel_plan(fleet.configuration, NAME, 2)
        assert not fleet.configuration.drains
        assert cancel_plan(fleet.configuration, NAME, 3) is fleet.configuration

    def test_changed_basis_is_a_conflict(self, fleet):
        """A plan proposed before a service changed cannot be confirmed."""
        changed = put_service(fleet.configuration, SERVICES[0])
        with pytest.raises(ConflictError, match='state the intent again'):
            confirm_plan(changed, NAME, 1)

    def test_confirming_twice_counts_once(self, fleet):
        """Confirming a running plan again changes nothing."""
        once = confirm_plan(fleet.configuration, NAME, 1)
        assert confirm_plan(once, NAME, 2) is once

    def test_unknown_plan(self, fleet):
        """Confirming a plan that does not exist raises `NotFoundError`."""
        with pytest.raises(NotFoundError):
            confirm_plan(fleet.configuration, 'plan-x', 1)
