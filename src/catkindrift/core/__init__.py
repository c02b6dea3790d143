"""The decision core: typed events in, typed effects out."""

from catkindrift.core._bounds import Bounds
from catkindrift.core._core import EntryCore
from catkindrift.core._effects import (
    AskGrants,
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
    TakeClaim,
)
from catkindrift.core._events import (
    AttemptEnded,
    ClaimJudged,
    Closed,
    ConfigurationSeen,
    Event,
    GrantAsked,
    GrantsAnswered,
    RecordSeen,
    RequestArrived,
    StopRequested,
    Ticked,
    UpstreamProbed,
    VmListSeen,
)
from catkindrift.core._identity import Identity
from catkindrift.core._invariants import Invariant, Invariants
from catkindrift.core._refusal import Refusal, RefusalReason
from catkindrift.core._request import Request
from catkindrift.core._shift_gate import SHARE_LIFE_MS, share_release_wait_ms
from catkindrift.core._state import CoreState

__all__ = [
    'SHARE_LIFE_MS',
    'AskGrants',
    'AttemptEnded',
    'Bounds',
    'CallerEffect',
    'ClaimJudged',
    'Closed',
    'ConfigurationSeen',
    'CoreState',
    'Dispatch',
    'Effect',
    'EndClaim',
    'EntryCore',
    'Event',
    'GrantAsked',
    'GrantsAnswered',
    'Identity',
    'Invariant',
    'Invariants',
    'LendGrants',
    'LogChange',
    'ProbeUpstream',
    'PublishRecord',
    'RecordSeen',
    'Refusal',
    'RefusalReason',
    'Refuse',
    'Replay',
    'Request',
    'RequestArrived',
    'StopRequested',
    'TakeClaim',
    'Ticked',
    'UpstreamProbed',
    'VmListSeen',
    'share_release_wait_ms',
]
