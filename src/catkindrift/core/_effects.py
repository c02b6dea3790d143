"""What the decision core wants done."""

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
        time_limit_ms: Time left until its deadline.
        max_body_bytes: Largest body that may be passed on.
        keeps_answer: The answer has to come back with the result.
    """

    request_id: int
    upstream: Vm
    time_limit_ms: int
    max_body_bytes: int
    records_response: bool = False


@final
@attrs.frozen
class Refuse:
    """Give a request its final answer."""

    request_id: int
    refusal: Refusal


@final
@attrs.frozen
class Replay:
    """Give a request the answer that its first run had."""

    request_id: int
    answer: RecordedAnswer


@final
@attrs.frozen
class TakeClaim:
    """Claim a request before it is dispatched.

    Args:
        request_id: The request.
        name: Digest of service, caller and idempotency key.
        service: Service of the request.
        digest: Digest of method, path and body.
        time_limit_ms: Time after which the request has surely ended.
    """

    request_id: int
    claim_name: str
    service: str
    content_digest: str
    time_limit_ms: int


@final
@attrs.frozen
class EndClaim:
    """Record how a claimed request ended."""

    held: HeldClaim
    state: ClaimState
    answer: RecordedAnswer | None = None


@final
@attrs.frozen
class RequestGrants:
    """Ask another entry VM for slots."""

    granter: str
    service: str
    slots: int


@final
@attrs.frozen
class LendGrants:
    """Answer a question for slots."""

    correlation_id: int
    grants: tuple[Grant, ...]


@final
@attrs.frozen
class ProbeUpstream:
    """Try whether an upstream takes connections."""

    upstream: Vm


@final
@attrs.frozen
class PublishRecord:
    """Send this VM's record to the others without waiting."""


@final
@attrs.frozen
class LogChange:
    """Write a log line about a change of state."""

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
    | LogChange
)
