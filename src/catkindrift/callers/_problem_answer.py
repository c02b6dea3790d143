"""Error answers of the product's own interface."""

from http import HTTPStatus
from types import MappingProxyType

from catkindrift.http1 import Response
from catkindrift.serving import Problem

_DETAIL = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: (
            'the head is malformed or its framing ambiguous; of Content-Length '
            'and Transfer-Encoding send one of them'
        ),
        HTTPStatus.REQUEST_TIMEOUT: (
            'the head or the body took too long to arrive; send it at once'
        ),
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: (
            'the body is too large; send a smaller one'
        ),
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
            'the headers are too large; send fewer or shorter ones'
        ),
    }
)


def problem_answer(problem: Problem) -> Response:
    """Return the HTTP answer that shows a problem."""
    return Response(
        problem.status,
        [
            (name.encode(), text.encode())
            for name, text in problem.headers()
            if name not in {'Content-Length', 'Connection'}
        ],
        problem.body,
        closes_connection=problem.closes,
    )


def bad_request(
    reason: str,
    detail: str,
    status: HTTPStatus = HTTPStatus.BAD_REQUEST,
) -> Problem:
    """Return the problem of a request that is refused before any decision."""
    return Problem(status, reason, detail, outcome='not_run', closes=True)


def refused_input(status: HTTPStatus) -> Response:
    """Return the answer to input that breaks HTTP or a limit."""
    detail = _DETAIL.get(status, 'the request is not understood')
    return problem_answer(bad_request('malformed_request', detail, status))
