"""Error responses of the system's own interface to callers."""

from http import HTTPStatus

from catkindrift.http1 import Response
from catkindrift.serving import Problem


def problem_response(problem: Problem) -> Response:
    """Return the HTTP response for a problem."""
    return Response(
        problem.status,
        [
            (name.encode(), text.encode())
            for name, text in problem.headers()
            if name not in {'Content-Length', 'Connection'}
        ],
        problem.body,
        closes_connection=problem.closes_connection,
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
