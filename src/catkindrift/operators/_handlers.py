"""Common parts of the operator API's page handlers."""

import functools
import json
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, ParamSpec, final

import attrs
import cherrypy

from catkindrift.domain import unstructure
from catkindrift.errors import (
    AuthenticationError,
    CatkindriftError,
    ConflictError,
    ForbiddenError,
    InvalidInputError,
    NotFoundError,
    PlatformAmbiguousError,
    PlatformUnavailableError,
)
from catkindrift.operators._operators import Operators
from catkindrift.serving import EventLoopBridge, Problem
from catkindrift.settings import OperatorRole

_Params = ParamSpec('_Params')

_STATUS = MappingProxyType(
    {
        AuthenticationError: HTTPStatus.UNAUTHORIZED,
        ForbiddenError: HTTPStatus.FORBIDDEN,
        InvalidInputError: HTTPStatus.BAD_REQUEST,
        NotFoundError: HTTPStatus.NOT_FOUND,
        ConflictError: HTTPStatus.CONFLICT,
        PlatformUnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
        PlatformAmbiguousError: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@final
@attrs.frozen
class ApiContext:
    """What page handlers need.

    Args:
        bridge: Passage to the loop.
        operators: Checks tokens.
    """

    bridge: EventLoopBridge
    operators: Operators


class Resource:
    """Base of page handlers; methods are named after HTTP methods.

    Args:
        context: What page handlers need.
    """

    exposed = True

    def __init__(self, context: ApiContext) -> None:
        """Keep the context."""
        self.context = context


def answers(
    role: OperatorRole,
) -> Callable[
    [Callable[_Params, Any]],
    Callable[_Params, bytes],
]:
    """Turn a method's result into JSON and its errors into problems.

    Args:
        role: Role that the method needs.
    """

    def decorate(
        method: Callable[_Params, Any],
    ) -> Callable[_Params, bytes]:
        @functools.wraps(method)
        def handle(
            *args: _Params.args,
            **kwargs: _Params.kwargs,
        ) -> bytes:
            try:
                _require(args[0], role)
            except CatkindriftError as denied:
                return _failure(denied)
            try:
                return _success(method(*args, **kwargs))
            except CatkindriftError as failure:
                return _failure(failure)

        return handle

    return decorate


def read_body() -> bytes:
    """Return the body of the request that is being handled."""
    return bytes(cherrypy.request.body.read())


def _require(resource: Any, role: OperatorRole) -> None:
    authorization = cherrypy.request.headers.get('Authorization', '')
    resource.context.operators.require(authorization, role)


def _success(found: Any) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    cherrypy.response.headers['Cache-Control'] = 'no-store'
    return json.dumps(unstructure(found), indent=2).encode()


def _failure(error: CatkindriftError) -> bytes:
    status = _STATUS.get(type(error), HTTPStatus.INTERNAL_SERVER_ERROR)
    reason = _reason(type(error).__name__)
    problem = Problem(status, reason, str(error))
    cherrypy.response.status = problem.status_line
    for name, text in problem.headers():
        cherrypy.response.headers[name] = text
    if status is HTTPStatus.UNAUTHORIZED:
        cherrypy.response.headers['WWW-Authenticate'] = 'Bearer'
    return problem.body


def _reason(class_name: str) -> str:
    words = ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter
        for letter in class_name.removesuffix('Error')
    )
    return words.lstrip('_')
