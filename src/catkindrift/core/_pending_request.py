"""A request that has not got its final response."""

from typing import final

import attrs

from catkindrift.claims import HeldClaim
from catkindrift.core._request import Request
from catkindrift.domain import Service
from catkindrift.retries import RetryRule


@final
@attrs.define(eq=False, repr=False)
class PendingRequest:
    """State of one request while it waits or is in flight.

    Args:
        request: The request.
        service: Its service as configured when it arrived.
        deadline_ms: Time by which the caller needs the response.
        retry_rule: Decides which attempt results may be retried.
        arrived_ms: When it was admitted.
        due_ms: When the response is due; before `deadline_ms` if this VM is
            stopping.
        attempts: Attempts so far.
        upstream: Upstream of the attempt in flight; empty if there is none.
        dispatched_ms: When the current attempt began.
        attempts_not_started: Attempts that are known not to have run.
        tried_upstreams: Upstreams where an attempt failed; not tried again.
        held_claim: Claim of a request that must run once; None until it is
            granted.
    """

    request: Request
    service: Service
    deadline_ms: int
    retry_rule: RetryRule
    arrived_ms: int
    due_ms: int = attrs.field(
        default=attrs.Factory(lambda pending: pending.deadline_ms, True)
    )
    attempts: int = 0
    upstream: str = ''
    dispatched_ms: int = 0
    attempts_not_started: int = 0
    tried_upstreams: set[str] = attrs.field(factory=set)
    held_claim: HeldClaim | None = None

    @property
    def is_running(self) -> bool:
        """Return whether an attempt is in flight."""
        return bool(self.upstream)

    @property
    def cannot_have_run(self) -> bool:
        """Return whether no attempt can have run the request."""
        return self.attempts == self.attempts_not_started
