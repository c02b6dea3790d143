"""Decides whether an attempt's outcome is the final response."""

from http import HTTPStatus

from catkindrift.gateway._attempt_outcome import (
    Answered,
    AttemptOutcome,
    NotRun,
    OutcomeUnknown,
)
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import Response


def final_response(
    pending: PendingRequest,
    outcome: AttemptOutcome,
) -> Response | None:
    """Return the final response, or None if another attempt may follow.

    A failure that allows another attempt is stored as the request's fallback
    response, for when no further attempt succeeds.

    Args:
        pending: The request.
        outcome: Outcome of its last attempt.
    """
    match outcome:
        case Answered(response, is_failure):
            if not is_failure or not pending.may_retry:
                return response
            pending.fallback = _as_fallback(response)
            return None
        case OutcomeUnknown():
            pending.fallback = Response(HTTPStatus.BAD_GATEWAY)
            return None if pending.may_retry else pending.fallback
        case NotRun():
            return None


def _as_fallback(response: Response) -> Response:
    """Return a response that can be held back during further attempts.

    One that is not complete is closed and replaced by a 502, since it would
    occupy its upstream meanwhile.
    """
    if response.body_stream is None:
        return response
    response.close()
    return Response(HTTPStatus.BAD_GATEWAY)
