"""HTTP endpoint for the metrics of an entry VM."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import CallerRequest, Response

_TEXT = (b'Content-Type', b'text/plain; version=0.0.4')


@final
@attrs.define(eq=False, repr=False)
class MetricsPage:
    """Serves metrics in the Prometheus text format.

    Args:
        metrics: Metrics of this entry VM.
    """

    _metrics: GatewayMetrics

    async def __call__(self, request: CallerRequest) -> Response:
        """Return all metrics, or 404 for a path other than /metrics."""
        if request.path != '/metrics':
            return Response(HTTPStatus.NOT_FOUND)
        # Slow to import, and never needed where nobody reads metrics.
        from catkindrift.gateway._metrics_text import (  # noqa: PLC0415
            metrics_text,
        )

        return Response(HTTPStatus.OK, [_TEXT], metrics_text(self._metrics))
