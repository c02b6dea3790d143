"""Events: inputs of the decision core."""

from typing import final

import attrs

from catkindrift.claims import ClaimResult
from catkindrift.core._request import Request
from catkindrift.core._shutdown_events import (
    CoreClosed,
    ShutdownPhaseBegan,
    StopRequested,
)
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
class BodyMissed:
    """The body of a request is not waited for any more; it has not run."""

    request: Request


@final
@attrs.frozen
class ClaimDecided:
    """The store has granted or denied the claim of a request."""

    request_id: int
    claim_result: ClaimResult


@final
@attrs.frozen
class AttemptEnded:
    """The current attempt of a request ended."""

    request_id: int
    attempt_result: AttemptResult


@final
@attrs.frozen
class UpstreamProbed:
    """An upstream was probed after a connection to it broke.

    Args:
        upstream: Name of the upstream.
        is_up: It accepted a connection.
    """

    upstream: str
    is_up: bool


@final
@attrs.frozen
class ConfigurationReceived:
    """The platform or another entry VM sent a configuration.

    Args:
        configuration: The configuration.
        confirmed_ms: Latest time at which the platform is known to have had
            it as its newest; None if unknown.
    """

    configuration: Configuration
    confirmed_ms: int | None = None


@final
@attrs.frozen
class VmListReceived:
    """The platform or another entry VM sent the VM list."""

    vms: tuple[Vm, ...]


@final
@attrs.frozen
class RecordReceived:
    """A record of another entry VM was received.

    Args:
        record: The record.
        requested_ms: When the exchange that brought it began.
        is_direct_reply: The VM itself sent it, in reply to this VM's record.
    """

    record: PeerRecord
    requested_ms: int
    is_direct_reply: bool


@final
@attrs.frozen
class GrantsRequested:
    """Another entry VM requests slots.

    Args:
        correlation_id: Copied into the reply.
        holder: Entry VM that requests them.
        holder_zone: Its availability zone.
        service: Service whose slots it needs.
        slots: Most slots that it can use.
    """

    correlation_id: int
    holder: str
    holder_zone: str
    service: str
    slots: int


@final
@attrs.frozen
class GrantsReceived:
    """The response to a request for slots arrived, or the call failed.

    Args:
        granter: Entry VM that received the request.
        service: Name of the service.
        grants: Granted slots; empty if none, or if the call failed.
    """

    granter: str
    service: str
    grants: tuple[Grant, ...]


@final
@attrs.frozen
class Ticked:
    """Periodic timer: refreshes slots, expires and dispatches requests."""


Event = (
    RequestArrived
    | BodyMissed
    | ClaimDecided
    | AttemptEnded
    | UpstreamProbed
    | ConfigurationReceived
    | VmListReceived
    | RecordReceived
    | GrantsRequested
    | GrantsReceived
    | StopRequested
    | ShutdownPhaseBegan
    | CoreClosed
    | Ticked
)
