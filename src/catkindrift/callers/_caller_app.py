"""The WSGI application that callers use."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, final

import attrs

from catkindrift.callers._forwarder import Forwarder, answer_problem
from catkindrift.callers._lookup_app import LookupApp
from catkindrift.serving import Problem


@final
@attrs.define(eq=False)
class CallerApp:
    """Sends each request to look-ups or to a service, by its path.

    Args:
        forwarder: Serves ``/services/NAME/...``.
        lookups: Serves ``/lookup``.
    """

    _forwarder: Forwarder
    _lookups: LookupApp

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['SCRIPT_NAME'] + environ['PATH_INFO']
        match path.split('/', 3):
            case ['', 'lookup']:
                return self._lookups.serve(environ, start_response)
            case ['', 'services', service, *rest]:
                target = f'/{rest[0] if rest else ""}'
                if environ.get('QUERY_STRING'):
                    target = f'{target}?{environ["QUERY_STRING"]}'
                return self._forwarder.serve(
                    environ,
                    start_response,
                    service,
                    target,
                )
        problem = Problem(
            HTTPStatus.NOT_FOUND,
            'unknown_path',
            'there is no such path; use /lookup or /services/NAME/...',
            outcome='not_run',
            closes=True,
        )
        return answer_problem(start_response, problem)
