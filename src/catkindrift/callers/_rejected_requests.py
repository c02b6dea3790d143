"""Requests of callers that the server rejects."""

import logging
from types import MappingProxyType
from typing import final

import attrs

from catkindrift.callers._line_limit import line_limit
from catkindrift.callers._problem_response import bad_request, problem_response
from catkindrift.clock import Clock
from catkindrift.http1 import RejectedRequest, RejectionReason, Response
from catkindrift.limits import TokenBucket
from catkindrift.serving import Metrics

_LOG = logging.getLogger(__name__)
_MAX_DETAIL_CHARS = 200
_DETAIL = MappingProxyType(
    {
        RejectionReason.MALFORMED: (
            'the head is malformed or its framing ambiguous; of Content-Length '
            'and Transfer-Encoding send one of them'
        ),
        RejectionReason.VERSION: (
            'the version of HTTP is not known; send HTTP/1.1'
        ),
        RejectionReason.FRAMING: (
            'the framing is ambiguous; of Content-Length and '
            'Transfer-Encoding send one of them'
        ),
        RejectionReason.HOST: (
            'Host is missing or malformed; send one with host and port'
        ),
        RejectionReason.REPEATED_HEADER: (
            'a header that may occur once stands twice; send it once'
        ),
        RejectionReason.TARGET: (
            'the request target is no path, or not of the host in Host; send '
            'one that begins with a slash'
        ),
        RejectionReason.HEAD_TIMEOUT: (
            'the head took too long to arrive; send it faster'
        ),
        RejectionReason.BODY_SIZE: (
            'the body is too large; send a smaller one'
        ),
        RejectionReason.MEMORY: (
            'too many headers are arriving at a time; try again later'
        ),
        RejectionReason.HEAD_SIZE: (
            'the headers are too large; send fewer or shorter ones'
        ),
    }
)


@final
@attrs.define(eq=False, repr=False)
class RejectedRequests:
    """Counts and logs requests that violate HTTP or a limit.

    Args:
        clock: Source of time.
        metrics: Counts the requests.
    """

    _clock: Clock
    _metrics: Metrics
    _lines: TokenBucket = attrs.field(init=False)

    def __call__(self, rejected: RejectedRequest) -> Response:
        """Return the response to a rejected request."""
        rejection = rejected.rejection
        reason = rejection.reason
        self._metrics.rejected_requests.labels(reason.value).inc()
        if self._lines.try_take():
            _LOG.warning(
                'rejected a request: reason=%s status=%d detail=%r caller=%s',
                reason.value,
                rejection.status.value,
                rejection.detail[:_MAX_DETAIL_CHARS],
                rejected.caller,
            )
        return problem_response(
            bad_request('malformed_request', _DETAIL[reason], rejection.status)
        )

    def __attrs_post_init__(self) -> None:
        """Create the limit on the rate of lines."""
        self._lines = line_limit(self._clock)
