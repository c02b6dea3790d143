"""Requests that a server rejects."""

from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._request_log import RequestLog
from catkindrift.http1 import RejectedRequest, Response
from catkindrift.platform import request_id


@final
@attrs.frozen(eq=False)
class RejectedRequests:
    """Counts and logs requests that violate HTTP or a limit.

    Args:
        metrics: Counts the requests.
        log: Log of requests.
        listener: Name of the address at which the requests arrive.
    """

    _metrics: GatewayMetrics
    _log: RequestLog
    _listener: str

    def __call__(self, rejected: RejectedRequest) -> Response:
        """Return the response to a rejected request."""
        reason = rejected.rejection.reason.value
        self._metrics.rejected_requests.labels(reason).inc()
        self._log.log_rejection(
            request_id(rejected.headers), rejected, self._listener
        )
        return Response(rejected.rejection.status)
