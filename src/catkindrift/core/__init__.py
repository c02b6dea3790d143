"""The decision core: typed events in, typed effects out."""

from catkindrift.core._bounds import Bounds
from catkindrift.core._core import EntryCore
from catkindrift.core._effects import (
    CallerEffect,
    Dispatch,
    Effect,
    EndClaim,
    LendGrants,
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
    ClaimDecided,
    ConfigurationReceived,
    CoreClosed,
    Event,
    GrantsReceived,
    GrantsRequested,
    RecordReceived,
    RequestArrived,
    StopRequested,
    Ticked,
    UpstreamProbed,
    VmListReceived,
)
from catkindrift.core._identity import Identity
from catkindrift.core._invariants import Invariant, Invariants
from catkindrift.core._refusal import Refusal, RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._shift_gate import SHARE_TTL_MS, share_release_wait_ms
from catkindrift.core._state import CoreState

__all__ = [
    'SHARE_TTL_MS',
    'AttemptEnded',
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
    'StopRequested',
    'TakeClaim',
    'Ticked',
    'UpstreamProbed',
    'VmListReceived',
    'share_release_wait_ms',
]
