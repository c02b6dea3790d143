"""A caller's request until it is answered."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.http1 import Answer, CallerRequest, ResponseHead
from catkindrift.platform import answers_request, is_signed, remaining_ms
from catkindrift.steering import Placed, PlacementRequest, Route

_FIRST_REDIRECT_STATUS = 300
# Statuses that promise "not run", which only an upstream that says so can.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

# An answer that leaves at the caller's deadline comes too late; the way to
# the caller takes a few milliseconds, more on a busy link.
_RETURN_TRIP_MS = 30


@final
@attrs.define(eq=False)
class PendingRequest:
    """What is known of a request while it is being served.

    Args:
        request: Head and body.
        route: Its route.
        service: Service that runs it.
        attempt: Id that the caller gave it.
        key: The object that it is about.
        deadline_ms: When its final answer is due.
        is_urgent: Whether no other route to the service is more urgent.
        fingerprint: What its repeats have in common with it.
        may_have_run: Whether some upstream may have started it.
        had_to_wait: Whether all slots seemed taken when it was sent last.
        has_failed: Whether an attempt did not go smoothly.
        arrivals: Upstreams that it has reached.
        fallback: Answer if no further attempt is made.
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
    fingerprint: str = ''
    may_have_run: bool = False
    was_queued: bool = False
    has_failed_attempt: bool = False
    delivered_attempts: int = 0
    fallback: Answer | None = None
    choice: Placed | None = None
    excluded: set[str] = attrs.field(factory=set)

    @property
    def may_retry(self) -> bool:
        """Return whether another attempt is allowed after an unknown one."""
        return self.route.kind.is_idempotent

    @property
    def can_resend(self) -> bool:
        """Return whether the request is still there to be sent."""
        return self.request.body.can_replay

    def matches_response(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to this request."""
        return answers_request(head, self.request_id)

    def may_forward(self, head: ResponseHead) -> bool:
        """Return whether a response may be shown to the caller.

        A success must bear the upstream's signature; a promise that the
        request did not run must be the upstream's own statement.
        """
        if head.status < _FIRST_REDIRECT_STATUS:
            return is_signed(head, self.request_id)
        return self.may_retry or head.status not in _NOT_RUN_STATUSES

    def placement_request(self, now_ms: int) -> PlacementRequest:
        """Return what placement has to know."""
        return PlacementRequest(
            self.route,
            self.service,
            self.key,
            self.deadline_ms - now_ms,
            self.is_urgent,
            frozenset(self.excluded),
        )


def response_timeout_ms(route: Route, request: CallerRequest) -> int:
    """Return the time from a request's head to its final answer."""
    caller_timeout_ms = remaining_ms(request.headers)
    if caller_timeout_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, max(0, caller_timeout_ms - _RETURN_TRIP_MS))
