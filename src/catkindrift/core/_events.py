"""What happens to an entry VM, as the decision core is told."""

from typing import final

import attrs

from catkindrift.claims import ClaimResult
from catkindrift.core._request import Request
from catkindrift.domain import Configuration, Vm
from catkindrift.limits import Grant
from catkindrift.peers import PeerRecord
from catkindrift.retries import AttemptResult


@final
@attrs.frozen
class RequestArrived:
    """A caller sent a request."""

    request: Request


@final
@attrs.frozen
class ClaimDecided:
    """The claim of a request that must run once was decided."""

    request_id: int
    verdict: ClaimResult


@final
@attrs.frozen
class AttemptEnded:
    """An attempt at an upstream ended."""

    request_id: int
    attempt_result: AttemptResult


@final
@attrs.frozen
class UpstreamProbed:
    """A connection to an upstream was tried after one broke off."""

    upstream: str
    is_up: bool


@final
@attrs.frozen
class ConfigurationReceived:
    """The platform or another entry VM showed a configuration.

    Args:
        configuration: What was shown.
        confirmed_ms: Time at which it surely was the newest, if known.
    """

    configuration: Configuration
    confirmed_ms: int | None = None


@final
@attrs.frozen
class VmListReceived:
    """The platform or another entry VM showed the VM list."""

    vms: tuple[Vm, ...]


@final
@attrs.frozen
class RecordReceived:
    """Another entry VM's record came in.

    Args:
        record: The record.
        asked_ms: When the exchange that brought it began.
        is_first_hand: The record came from the VM itself in answer.
    """

    record: PeerRecord
    requested_ms: int
    is_direct_reply: bool


@final
@attrs.frozen
class GrantsRequested:
    """Another entry VM asks for slots.

    Args:
        ask_id: Names the question in the answer.
        holder: Entry VM that asks.
        holder_zone: Its availability zone.
        service: Service whose slots it needs.
        slots: Slots that it could use.
    """

    correlation_id: int
    holder: str
    holder_zone: str
    service: str
    slots: int


@final
@attrs.frozen
class GrantsReceived:
    """An entry VM that was asked for slots answered, or failed to."""

    granter: str
    service: str
    grants: tuple[Grant, ...]


@final
@attrs.frozen
class StopRequested:
    """The process was told to stop."""


@final
@attrs.frozen
class CoreClosed:
    """The process ends at once; nobody will decide any more."""


@final
@attrs.frozen
class Ticked:
    """Some time has passed."""


Event = (
    RequestArrived
    | ClaimDecided
    | AttemptEnded
    | UpstreamProbed
    | ConfigurationReceived
    | VmListReceived
    | RecordReceived
    | GrantsRequested
    | GrantsReceived
    | StopRequested
    | CoreClosed
    | Ticked
)
