"""Routes callers' requests by path."""

from http import HTTPStatus
from typing import final
from urllib.parse import unquote

import attrs

from catkindrift.callers._forwarder import Forwarder
from catkindrift.callers._ignored_options import IgnoredOptions
from catkindrift.callers._lookup_app import LookupApp
from catkindrift.callers._problem_response import bad_request, problem_response
from catkindrift.http1 import CallerRequest, Response


@final
@attrs.define(eq=False, repr=False)
class CallerApp:
    """Dispatches each request by path, to look-ups or to a service.

    Args:
        forwarder: Serves ``/services/NAME/...``.
        lookups: Serves ``/lookup``.
        ignored_options: Records what Connection must not name.
    """

    _forwarder: Forwarder
    _lookups: LookupApp
    _ignored_options: IgnoredOptions

    async def __call__(self, request: CallerRequest) -> Response:
        """Return the response to one request."""
        match request.path.split('/', 3):
            case ['', 'lookup']:
                return await self._lookups.serve(request)
            case ['', 'services', service, *rest]:
                self._ignored_options.record(request)
                path = rest[0] if rest else ''
                _, mark, query = request.target.partition(b'?')
                target = b'/%b%b%b' % (path.encode('latin-1'), mark, query)
                return await self._forwarder.serve(
                    request,
                    unquote(service),
                    target,
                )
        return problem_response(
            bad_request(
                'unknown_path',
                'the path does not exist; use /lookup or /services/NAME/...',
                HTTPStatus.NOT_FOUND,
            ),
        )
