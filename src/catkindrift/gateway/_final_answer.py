"""What an attempt leaves to be answered."""

from http import HTTPStatus

from catkindrift.gateway._attempt_outcome import (
    Answered,
    AttemptOutcome,
    NotRun,
    OutcomeUnknown,
)
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import Answer


def final_answer(
    pending: PendingRequest,
    outcome: AttemptOutcome,
) -> Answer | None:
    """Return the answer if no other attempt may follow.

    Else what was seen is kept, in case that no other attempt does better.

    Args:
        pending: The request.
        outcome: What became of its last attempt.
    """
    match outcome:
        case Answered(answer, is_failure):
            if not is_failure or not pending.may_retry:
                return answer
            pending.fallback = _as_fallback(answer)
            return None
        case OutcomeUnknown():
            pending.fallback = Answer(HTTPStatus.BAD_GATEWAY)
            return None if pending.may_retry else pending.fallback
        case NotRun():
            return None


def _as_fallback(answer: Answer) -> Answer:
    """Return an answer that can be passed on later.

    One that has not come whole would keep its upstream at work meanwhile.
    """
    if answer.rest is None:
        return answer
    answer.close()
    return Answer(HTTPStatus.BAD_GATEWAY)
