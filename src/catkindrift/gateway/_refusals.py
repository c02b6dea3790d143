"""Answers to requests that have not run and never will."""

import random
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._request_log import RequestLog
from catkindrift.http1 import Answer, CallerRequest
from catkindrift.limits import jittered
from catkindrift.platform import request_id, retry_after


@final
@attrs.define(eq=False)
class Refusals:
    """Refuses requests, says when to come back, and counts and logs it.

    Args:
        facts: What is known.
        metrics: Counts refusals.
        log: Says why.
    """

    _facts: PlatformState
    _metrics: GatewayMetrics
    _log: RequestLog
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def refuse(
        self,
        request: CallerRequest,
        reason: str,
        wait_ms: float,
    ) -> Answer:
        """Return the promise that a request has not run.

        Args:
            request: The request.
            reason: Machine-readable reason.
            wait_ms: When to come back; spread, so that callers do not return
                together.
        """
        self._record(request, reason, wait_ms)
        advice = retry_after(jittered(self._rng, wait_ms))
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE, [advice])

    def refuse_unrouted(self, request: CallerRequest) -> Answer:
        """Return the answer to a request that no route matches."""
        self._record(request, 'no_route', 0)
        return Answer(HTTPStatus.NOT_FOUND)

    def _record(
        self,
        request: CallerRequest,
        reason: str,
        wait_ms: float,
    ) -> None:
        self._metrics.refusals.labels(reason).inc()
        configuration = self._facts.configuration
        version = configuration.version if configuration else 0
        self._log.log_refusal(
            request_id(request.headers), reason, wait_ms, version
        )
