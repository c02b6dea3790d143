"""Refusals of requests that have not been run."""

import logging
import random
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._request_log import RequestLog
from catkindrift.http1 import CallerRequest, Headers, Response
from catkindrift.jitter import jittered, jittered_up
from catkindrift.platform import request_id, retry_after
from catkindrift.steering import NotPlacedReason
from catkindrift.workspaces import QuotaShare, Workspace

_LOG = logging.getLogger(__name__)
# Refusals whose time is the earliest at which a retry can succeed.
_EARLIEST_REASONS = frozenset((NotPlacedReason.LIMITED.value,))


@final
@attrs.define(eq=False, repr=False)
class Refusals:
    """Builds refusals with advice on when to retry; counts and logs them.

    Args:
        state: Source of the configuration version for the log.
        metrics: Counts refusals.
        log: Log of refused requests.
    """

    _state: PlatformState
    _metrics: GatewayMetrics
    _log: RequestLog
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def refuse(
        self,
        request: CallerRequest,
        reason: str,
        retry_after_ms: float,
        more_headers: Headers | None = None,
    ) -> Response:
        """Return a 503, which guarantees that the request has not run.

        Args:
            request: The request.
            reason: Machine-readable reason.
            retry_after_ms: Delay before a retry; jitter is added, so that
                callers don't retry at the same time.
            more_headers: Further headers of the response.
        """
        self._record(request, reason, retry_after_ms)
        spread = jittered_up if reason in _EARLIEST_REASONS else jittered
        headers = [retry_after(spread(self._rng, retry_after_ms))]
        headers.extend(more_headers or ())
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers)

    def refuse_after_error(
        self, request: CallerRequest, retry_after_ms: float
    ) -> Response:
        """Return a 503 for a request that an error kept from being sent.

        The server would answer 502, after which a caller can't repeat an
        unsafe request. Called while the exception is being handled.

        Args:
            request: The request.
            retry_after_ms: Delay before a retry.
        """
        _LOG.exception('a request failed before it was sent')
        return self.refuse(request, 'error', retry_after_ms)

    def refuse_unrouted(self, request: CallerRequest) -> Response:
        """Return a 404 for a request that no route matches."""
        self._record(request, 'no_route', 0)
        return Response(HTTPStatus.NOT_FOUND)

    def refuse_without_key(self, request: CallerRequest) -> Response:
        """Return a 401 for a request without the key of a workspace."""
        self._record(request, 'no_key', 0)
        return Response(HTTPStatus.UNAUTHORIZED)

    def refuse_over_quota(
        self,
        request: CallerRequest,
        workspace: Workspace,
        retry_after_ms: float,
        share: QuotaShare,
    ) -> Response:
        """Return a 429 for a request beyond the quota of its workspace.

        Args:
            request: The request.
            workspace: Its workspace.
            retry_after_ms: Time until there is room; jitter is added, so that
                callers don't retry at the same time.
            share: What this VM may admit, for the log.
        """
        self._metrics.refusals.labels('quota').inc()
        wait_ms = jittered_up(self._rng, retry_after_ms)
        self._log.log_over_quota(
            request_id(request.headers), workspace.name, wait_ms, share
        )
        return Response(HTTPStatus.TOO_MANY_REQUESTS, [retry_after(wait_ms)])

    def _record(
        self,
        request: CallerRequest,
        reason: str,
        retry_after_ms: float,
    ) -> None:
        self._metrics.refusals.labels(reason).inc()
        configuration = self._state.configuration
        version = configuration.version if configuration else 0
        self._log.log_refusal(
            request_id(request.headers), reason, retry_after_ms, version
        )
