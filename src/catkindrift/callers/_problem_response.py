"""Error responses of the system's own interface to callers."""

from http import HTTPStatus
from types import MappingProxyType

from catkindrift.http1 import Answer
from catkindrift.serving import Problem

_DETAIL = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: (
            'the head is malformed or its framing ambiguous; send either '
            'Content-Length or Transfer-Encoding'
        ),
        HTTPStatus.REQUEST_TIMEOUT: (
            'the head or the body took too long to arrive; send it faster'
        ),
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: (
            'the body is too large; send a smaller one'
        ),
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
            'the headers are too large; send fewer or shorter ones'
        ),
    }
)


def problem_response(problem: Problem) -> Answer:
    """Return the HTTP response for a problem."""
    return Answer(
        problem.status,
        [
            (name.encode(), text.encode())
            for name, text in problem.headers()
            if name not in {'Content-Length', 'Connection'}
        ],
        problem.body,
        closes=problem.closes_connection,
    )


def bad_request(
    reason: str,
    detail: str,
    status: HTTPStatus = HTTPStatus.BAD_REQUEST,
) -> Problem:
    """Return the problem of a request that is invalid and has not run."""
    return Problem(
        status, reason, detail, outcome='not_run', closes_connection=True
    )


def invalid_request_response(status: HTTPStatus) -> Answer:
    """Return the response to input that violates HTTP or a limit."""
    detail = _DETAIL.get(status, 'the request is not valid HTTP; correct it')
    return problem_response(bad_request('malformed_request', detail, status))
