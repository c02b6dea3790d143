"""Base class and decorator of the operator API's request handlers."""

import functools
import json
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, ParamSpec, final

import attrs
import cherrypy

from catkindrift.domain import unstructure
from catkindrift.entry_settings import OperatorRole
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
from catkindrift.operators._operator_authorizer import OperatorAuthorizer
from catkindrift.serving import EventLoopBridge, Problem

_Params = ParamSpec('_Params')

_STATUS_BY_ERROR = MappingProxyType(
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
    """Shared dependencies of the request handlers.

    Args:
        bridge: Runs functions and coroutines on the event loop.
        operators: Checks tokens.
    """

    bridge: EventLoopBridge
    authorizer: OperatorAuthorizer


class Resource:
    """Base class of request handlers; methods are named after HTTP methods.

    Args:
        context: Shared dependencies of the request handlers.
    """

    exposed = True

    def __init__(self, context: ApiContext) -> None:
        """Store the context."""
        self.context = context


def json_endpoint(
    role: OperatorRole,
) -> Callable[
    [Callable[_Params, Any]],
    Callable[_Params, bytes],
]:
    """Serve a method's result as JSON and its errors as problem documents.

    Args:
        role: Role that the request requires.

    Returns:
        Decorator for methods of a `Resource`.
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
                _authorize(args[0], role)
            except CatkindriftError as error:
                return _problem_response(error)
            try:
                return _json_response(method(*args, **kwargs))
            except CatkindriftError as error:
                return _problem_response(error)

        return handle

    return decorate


def read_body() -> bytes:
    """Return the body of the current request."""
    return bytes(cherrypy.request.body.read())


def _authorize(resource: Any, role: OperatorRole) -> None:
    authorization = cherrypy.request.headers.get('Authorization', '')
    resource.context.authorizer.authorize(authorization, role)


def _json_response(document: Any) -> bytes:
    cherrypy.response.headers['Content-Type'] = 'application/json'
    cherrypy.response.headers['Cache-Control'] = 'no-store'
    return json.dumps(unstructure(document), indent=2).encode()


def _problem_response(error: CatkindriftError) -> bytes:
    status = _STATUS_BY_ERROR.get(type(error), HTTPStatus.INTERNAL_SERVER_ERROR)
    reason = _reason_code(type(error).__name__)
    problem = Problem(status, reason, str(error))
    cherrypy.response.status = problem.status_line
    for name, text in problem.headers():
        cherrypy.response.headers[name] = text
    if status is HTTPStatus.UNAUTHORIZED:
        cherrypy.response.headers['WWW-Authenticate'] = 'Bearer'
    return problem.body


def _reason_code(class_name: str) -> str:
    words = ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter
        for letter in class_name.removesuffix('Error')
    )
    return words.lstrip('_')
