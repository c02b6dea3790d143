"""Connection options that are ignored."""

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._permitted_headers import HEADER_RULES
from catkindrift.gateway._request_log import RequestLog
from catkindrift.http1 import CallerRequest


def record_ignored_options(
    request: CallerRequest, metrics: GatewayMetrics, log: RequestLog
) -> None:
    """Count and log options of Connection that name headers for all.

    The request is forwarded as without them.

    Args:
        request: Request of a caller.
        metrics: Counts the options.
        log: Log of requests.
    """
    options = HEADER_RULES.ignored_options(request.headers)
    for option in options:
        metrics.ignored_connection_options.labels(option.decode()).inc()
    if options:
        log.log_ignored_options(request, options)
