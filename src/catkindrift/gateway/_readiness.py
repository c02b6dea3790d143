"""Tells the platform whether callers may be sent to this entry VM."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.http1 import Answer, CallerRequest
from catkindrift.platform import READINESS_PATH


@final
@attrs.define(eq=False)
class Readiness:
    """Says whether callers may be sent to this entry VM.

    Args:
        is_ready: Returns whether they may.
    """

    _is_ready: Callable[[], bool]

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one check."""
        if request.path != READINESS_PATH:
            return Answer(HTTPStatus.NOT_FOUND)
        if self._is_ready():
            return Answer(HTTPStatus.OK)
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE)
