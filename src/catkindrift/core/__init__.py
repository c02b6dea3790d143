"""Decision core of an entry VM: maps typed events to typed effects."""

from catkindrift.core._bounds import Bounds
from catkindrift.core._core import EntryCore
from catkindrift.core._effects import (
    CallerEffect,
    Dispatch,
    Effect,
    EndClaim,
    LendGrants,
    LimitRequests,
    LogChange,
    ProbeUpstream,
    PublishRecord,
    Refuse,
    Replay,
    RequestGrants,
    TakeClaim,
)
from catkindrift.core._events import (
    AttemptEnded,
    BodyMissed,
    ClaimDecided,
    ConfigurationReceived,
    Event,
    GrantsReceived,
    GrantsRequested,
    RecordReceived,
    RequestArrived,
    Ticked,
    UpstreamProbed,
    VmListReceived,
)
from catkindrift.core._identity import Identity
from catkindrift.core._invariants import Invariant, Invariants
from catkindrift.core._refusal import Refusal, RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._shift_gate import SHARE_TTL_MS, share_release_wait_ms
from catkindrift.core._shutdown_events import (
    CoreClosed,
    ShutdownPhaseBegan,
    StopRequested,
)
from catkindrift.core._state import CoreState

__all__ = [
    'SHARE_TTL_MS',
    'AttemptEnded',
    'BodyMissed',
    'Bounds',
    'CallerEffect',
    'ClaimDecided',
    'ConfigurationReceived',
    'CoreClosed',
    'CoreState',
    'Dispatch',
    'Effect',
    'EndClaim',
    'EntryCore',
    'Event',
    'GrantsReceived',
    'GrantsRequested',
    'Identity',
    'Invariant',
    'Invariants',
    'LendGrants',
    'LimitRequests',
    'LogChange',
    'ProbeUpstream',
    'PublishRecord',
    'RecordReceived',
    'Refusal',
    'RefusalReason',
    'Refuse',
    'Replay',
    'Request',
    'RequestArrived',
    'RequestGrants',
    'ShutdownPhaseBegan',
    'StopRequested',
    'TakeClaim',
    'Ticked',
    'UpstreamProbed',
    'VmListReceived',
    'share_release_wait_ms',
]
