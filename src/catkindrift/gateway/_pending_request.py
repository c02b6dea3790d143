"""State of a caller's request until its response is sent."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.http1 import CallerRequest, Response, ResponseHead
from catkindrift.platform import is_from_upstream, matches_attempt, remaining_ms
from catkindrift.steering import Placed, PlacementRequest, Route
from catkindrift.workspaces import (
    Access,
    Granted,
    Unchecked,
    Workspace,
    common_homes,
)

_FIRST_REDIRECT_STATUS = 300
# Callers take these statuses to mean that the request did not run, which only
# an explicit statement by the upstream guarantees.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

# The response must be sent before the caller's deadline: its way to the caller
# takes a few milliseconds, more on a busy link.
_RESPONSE_TRANSIT_MS = 30


@final
@attrs.define(eq=False, repr=False)
class PendingRequest:
    """State of a request while it is being served.

    Args:
        request: Head and body.
        route: Route that matches the request.
        service: Service that runs it.
        request_id: Id that the caller gave this request.
        key: Affinity key: the object that the request is about.
        deadline_ms: When the final response is due by the route and the
            caller.
        due_ms: When it is due; before `deadline_ms` if this VM is stopping.
        is_urgent: Whether no other route to the service has higher priority.
        access: Result of the check of its API key.
        key_digest: Digest of that key; None if it has none.
        fingerprint: Digest that the request shares with its retries.
        may_have_run: Whether some upstream may have started it.
        was_queued: Whether the upstream's slots were all taken when the
            request was sent last.
        has_failed_attempt: Whether an attempt has failed.
        delivered_attempts: Attempts that reached an upstream.
        fallback: Response if no further attempt succeeds.
        choice: Upstream that it was sent to last.
        excluded: Ids of upstreams that were tried.
    """

    request: CallerRequest
    route: Route
    service: str
    request_id: str
    key: str
    deadline_ms: int
    is_urgent: bool
    due_ms: int = attrs.field(
        default=attrs.Factory(lambda pending: pending.deadline_ms, True)
    )
    access: Access = Unchecked()
    key_digest: bytes | None = None
    fingerprint: str = ''
    may_have_run: bool = False
    was_queued: bool = False
    has_failed_attempt: bool = False
    delivered_attempts: int = 0
    fallback: Response | None = None
    choice: Placed | None = None
    excluded: set[str] = attrs.field(factory=set)

    @property
    def may_retry(self) -> bool:
        """Return whether a retry is safe when the request may have run."""
        return self.route.kind.is_idempotent

    @property
    def workspace(self) -> Workspace | None:
        """Workspace that the request belongs to, if any."""
        access = self.access
        return access.workspace if isinstance(access, Granted) else None

    @property
    def home_regions(self) -> frozenset[str] | None:
        """Regions that may serve the request; None for all."""
        workspace = self.workspace
        return common_homes(
            self.route.home_regions,
            workspace.home_regions if workspace else frozenset(),
        )

    @property
    def can_resend(self) -> bool:
        """Return whether the whole body can be sent again."""
        return self.request.body.can_replay

    def matches_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request."""
        return matches_attempt(head, self.request_id)

    def may_forward(self, head: ResponseHead) -> bool:
        """Return whether a response may be forwarded to the caller.

        A success must bear the upstream's signature. For a request that is
        unsafe to retry, a status that means "not run" to the caller is held
        back: the upstream has not stated that, so the request may have run.
        """
        if head.status < _FIRST_REDIRECT_STATUS:
            return is_from_upstream(head, self.request_id)
        return self.may_retry or head.status not in _NOT_RUN_STATUSES

    def upstream_time_ms(self, now_ms: int) -> int:
        """Return the milliseconds that an upstream may take; at least 1.

        If this VM is stopping, the upstream's own response at the end of that
        time has to arrive before this VM gives up.
        """
        is_shortened = self.due_ms < self.deadline_ms
        transit_ms = _RESPONSE_TRANSIT_MS if is_shortened else 0
        return max(1, self.due_ms - now_ms - transit_ms)

    def placement_request(self, now_ms: int) -> PlacementRequest:
        """Return the input for the choice of an upstream."""
        return PlacementRequest(
            self.route,
            self.service,
            self.key,
            self.due_ms - now_ms,
            self.is_urgent,
            frozenset(self.excluded),
            self.home_regions,
        )


def response_timeout_ms(route: Route, request: CallerRequest) -> int:
    """Return the time limit from a request's head to its final response.

    Args:
        route: Route of the request.
        request: The request, which may state the caller's own timeout.
    """
    caller_timeout_ms = remaining_ms(request.headers)
    if caller_timeout_ms is None:
        return route.timeout_ms
    return min(
        route.timeout_ms, max(0, caller_timeout_ms - _RESPONSE_TRANSIT_MS)
    )
