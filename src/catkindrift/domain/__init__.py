"""Domain objects, as stored in the platform and shown to operators."""

from catkindrift.domain._codec import decode_json, encode_json, unstructure
from catkindrift.domain._configuration import Configuration
from catkindrift.domain._drain import Drain, DrainScope
from catkindrift.domain._intent import (
    BringBackIntent,
    DrainIntent,
    Intent,
    ShiftIntent,
)
from catkindrift.domain._plan import (
    Plan,
    PlanState,
    RegionHeadroom,
    Step,
    StepKind,
)
from catkindrift.domain._service import Measure, Repeat, Service
from catkindrift.domain._shift import CapShare, Shift
from catkindrift.domain._vm import Vm, VmRole, VmState
from catkindrift.domain._zone import Zone

__all__ = [
    'BringBackIntent',
    'CapShare',
    'Configuration',
    'Drain',
    'DrainIntent',
    'DrainScope',
    'Intent',
    'Measure',
    'Plan',
    'PlanState',
    'RegionHeadroom',
    'Repeat',
    'Service',
    'Shift',
    'ShiftIntent',
    'Step',
    'StepKind',
    'Vm',
    'VmRole',
    'VmState',
    'Zone',
    'decode_json',
    'encode_json',
    'unstructure',
]
