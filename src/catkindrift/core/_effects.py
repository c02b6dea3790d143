"""Effects: actions that the decision core asks its caller to run."""

from typing import final

import attrs

from catkindrift.claims import ClaimState, HeldClaim
from catkindrift.core._refusal import Refusal
from catkindrift.domain import Vm
from catkindrift.limits import Grant
from catkindrift.retries import RecordedAnswer


@final
@attrs.frozen
class Dispatch:
    """Send a request to an upstream.

    Args:
        request_id: The request.
        upstream: Where to send it.
        time_limit_ms: Time remaining until its deadline.
        max_body_bytes: Largest request body that may be forwarded.
        records_response: The attempt result must contain the response, so that
            it can be stored with the claim.
    """

    request_id: int
    upstream: Vm
    time_limit_ms: int
    max_body_bytes: int
    records_response: bool = False


@final
@attrs.frozen
class Refuse:
    """Send a refusal as the final response to a request."""

    request_id: int
    refusal: Refusal


@final
@attrs.frozen
class Replay:
    """Send the stored response of the first run of a request again."""

    request_id: int
    answer: RecordedAnswer


@final
@attrs.frozen
class TakeClaim:
    """Claim a request before it is dispatched.

    Args:
        request_id: The request.
        claim_name: Digest of service, caller and idempotency key.
        service: Service of the request.
        content_digest: Digest of method, path and body.
        time_limit_ms: Time after which the request must have ended.
    """

    request_id: int
    claim_name: str
    service: str
    content_digest: str
    time_limit_ms: int


@final
@attrs.frozen
class EndClaim:
    """Store the final state of a claim, with the response if recorded."""

    held: HeldClaim
    state: ClaimState
    answer: RecordedAnswer | None = None


@final
@attrs.frozen
class RequestGrants:
    """Request grants of slots from another entry VM."""

    granter: str
    service: str
    slots: int


@final
@attrs.frozen
class LendGrants:
    """Reply to a request for slots; an empty tuple grants nothing."""

    correlation_id: int
    grants: tuple[Grant, ...]


@final
@attrs.frozen
class ProbeUpstream:
    """Check whether an upstream accepts connections."""

    upstream: Vm


@final
@attrs.frozen
class PublishRecord:
    """Send this VM's record to its peers now, not at the next interval."""


@final
@attrs.frozen
class LimitRequests:
    """All requests in progress, and all later ones, are due by a time."""

    due_ms: int


@final
@attrs.frozen
class LogChange:
    """Log a change of state."""

    message: str


CallerEffect = Dispatch | Refuse | Replay
Effect = (
    CallerEffect
    | TakeClaim
    | EndClaim
    | RequestGrants
    | LendGrants
    | ProbeUpstream
    | PublishRecord
    | LimitRequests
    | LogChange
)
