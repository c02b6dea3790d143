"""Planning and execution of traffic shifts and drains by operators."""

from catkindrift.plans._changes import (
    put_service,
    put_zone,
    remove_service,
    remove_zone,
)
from catkindrift.plans._executor import PlanExecutor
from catkindrift.plans._fleet_view import FleetView
from catkindrift.plans._lifecycle import (
    add_plan,
    cancel_plan,
    confirm_plan,
    pause_plan,
    resume_plan,
)
from catkindrift.plans._planner import Planner
from catkindrift.plans._store import (
    ConfigurationSnapshot,
    ConfigurationStore,
)

__all__ = [
    'ConfigurationSnapshot',
    'ConfigurationStore',
    'FleetView',
    'PlanExecutor',
    'Planner',
    'add_plan',
    'cancel_plan',
    'confirm_plan',
    'pause_plan',
    'put_service',
    'put_zone',
    'remove_service',
    'remove_zone',
    'resume_plan',
]
