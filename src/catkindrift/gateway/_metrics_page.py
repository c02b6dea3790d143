"""Shows the counters of an entry VM."""

from http import HTTPStatus
from typing import final

import attrs
from prometheus_client import generate_latest

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import Answer, CallerRequest

_TEXT = (b'Content-Type', b'text/plain; version=0.0.4')


@final
@attrs.define(eq=False)
class MetricsPage:
    """Shows the counters of this entry VM.

    Args:
        metrics: The counters.
    """

    _metrics: GatewayMetrics

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one collection."""
        if request.path != '/metrics':
            return Answer(HTTPStatus.NOT_FOUND)
        body = generate_latest(self._metrics.registry)
        return Answer(HTTPStatus.OK, [_TEXT], body)
