"""Readiness probe of the platform."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.http1 import CallerRequest, Response
from catkindrift.platform import READINESS_PATH


@final
@attrs.define(eq=False, repr=False)
class Readiness:
    """Responds to readiness probes with 200 or 503.

    Args:
        is_ready: Returns whether callers may be routed to this VM.
    """

    _is_ready: Callable[[], bool]

    async def __call__(self, request: CallerRequest) -> Response:
        """Handle one probe."""
        if request.path != READINESS_PATH:
            return Response(HTTPStatus.NOT_FOUND)
        if self._is_ready():
            return Response(HTTPStatus.OK)
        return Response(HTTPStatus.SERVICE_UNAVAILABLE)
