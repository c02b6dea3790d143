"""A request that has not got its final answer."""

from typing import final

import attrs

from catkindrift.claims import HeldClaim
from catkindrift.core._request import Request
from catkindrift.domain import Service
from catkindrift.retries import RetryRule


@final
@attrs.define(eq=False)
class PendingRequest:
    """State of one request while it is in the VM.

    Args:
        request: The request.
        service: Its service when it arrived.
        deadline_ms: Time by which the answer is wanted.
        rule: Which results may be followed by another attempt.
        attempts: Attempts so far.
        upstream: Where the current attempt runs, empty between attempts.
        dispatched_ms: When the current attempt began.
        not_started: Attempts that surely did not run.
        tried: Upstreams that failed the request.
        held: Claim of a request that must run once.
    """

    request: Request
    service: Service
    deadline_ms: int
    retry_rule: RetryRule
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
