"""Forwards callers' requests to upstreams."""

import functools
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.blame import BODY_PREFIX_BYTES, request_fingerprint
from catkindrift.clock import Clock
from catkindrift.gateway._attempt import AttemptSender
from catkindrift.gateway._attempt_outcome import (
    Answered,
    AttemptOutcome,
    NotRun,
)
from catkindrift.gateway._final_response import final_response
from catkindrift.gateway._handover import Handover
from catkindrift.gateway._ignored_options import record_ignored_options
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._overload_gate import OverloadGate
from catkindrift.gateway._pending_request import (
    PendingRequest,
    response_timeout_ms,
)
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._quotas import Quotas
from catkindrift.gateway._refusals import Refusals
from catkindrift.gateway._request_log import RequestLog
from catkindrift.gateway._response_deadlines import ResponseDeadlines
from catkindrift.gateway._shutdown_gate import ShutdownGate
from catkindrift.gateway._shutdown_log import ShutdownLog
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.http1 import CallerRequest, Response
from catkindrift.platform import api_key, object_key, request_id
from catkindrift.steering import (
    ColdRateLimiter,
    NotPlaced,
    NotPlacedReason,
    Placed,
    SharedRetryBudget,
    UpstreamLimits,
)
from catkindrift.workspaces import Denied, check_access, key_digest

_MILLISECONDS_PER_SECOND = 1000
_BLAME_REASONS = frozenset(
    (NotPlacedReason.QUARANTINED, NotPlacedReason.SUSPECT_RUNS)
)
# Requests without an affinity key are spread over this many keys.
_KEYLESS_BUCKETS = 64
# A starting process usually knows configuration and upstreams within a second.
_NOT_READY_RETRY_MS = 400.0
# Retry-After when no upstream can be tried: about one service time.
_REFUSED_RETRY_MS = 150.0
# Failed connects don't load upstreams, so they don't count as attempts; this
# bounds the time that they take.
_MAX_CONNECT_FAILURES = 4


@final
@attrs.define(eq=False, repr=False)
class Forwarder:
    """Sends each request to an upstream, and retries where that is safe.

    Args:
        clock: Source of time.
        state: Configuration and upstreams.
        isolation: Chooses upstreams.
        gate: Lets requests wait for them.
        sender: Sends attempts.
        budget: Limits retries.
        cold_limiter: Counts requests, for when an upstream is cold.
        limits: Counts requests to upstreams that name a limit.
        refusals: Builds and records refusals.
        metrics: Counts outcomes.
        log: Log of failed and refused requests.
        quotas: Quotas of workspaces.
        deadlines: Time limits of the requests in progress.
        shutdown_gate: Refuses requests during a shutdown.
        shutdown_log: Records requests that are cut during a shutdown.
        handover: Hands requests over while this VM is cut off; None to keep
            all.
    """

    _clock: Clock
    _state: PlatformState
    _isolation: SuspectIsolation
    _gate: OverloadGate
    _sender: AttemptSender
    _budget: SharedRetryBudget
    _cold_limiter: ColdRateLimiter
    _limits: UpstreamLimits
    _refusals: Refusals
    _metrics: GatewayMetrics
    _log: RequestLog
    _quotas: Quotas
    _deadlines: ResponseDeadlines
    _shutdown_gate: ShutdownGate
    _shutdown_log: ShutdownLog
    _handover: Handover | None = None
    _keyless_count: int = attrs.field(init=False, default=0)

    async def __call__(self, request: CallerRequest) -> Response:
        """Return the response to one request of a caller."""
        record_ignored_options(request, self._metrics, self._log)
        stated = api_key(request.headers)
        return await self.forward(
            request, key_digest(stated) if stated else None
        )

    async def forward(
        self, request: CallerRequest, digest: bytes | None
    ) -> Response:
        """Return the response to one request.

        Args:
            request: The request.
            digest: Digest of its API key; None if it has no valid one.
        """
        response = await self._handle(request, digest)
        self._metrics.answers.labels(str(response.status)).inc()
        took_ms = self._clock.now_ms() - request.arrived_ms
        self._metrics.answer_seconds.observe(took_ms / _MILLISECONDS_PER_SECOND)
        return response

    @property
    def _is_cut_off(self) -> bool:
        """Whether requests are handed over."""
        return self._handover is not None and self._handover.is_needed

    async def _handle(
        self, request: CallerRequest, digest: bytes | None
    ) -> Response:
        configuration = self._state.configuration
        if configuration is None or not self._state.is_complete:
            return self._refusals.refuse(
                request, 'not_ready', _NOT_READY_RETRY_MS
            )
        host = request.header(b'host').decode('latin-1')
        route = configuration.find_route(host, request.path)
        if route is None:
            return self._refusals.refuse_unrouted(request)
        access = check_access(
            configuration.workspaces, digest, is_anonymous=route.is_anonymous
        )
        if isinstance(access, Denied):
            return self._refusals.refuse_without_key(request)
        key = object_key(request.headers) or self._next_keyless_key()
        service = self._state.rotation(route).next_service()
        pending = PendingRequest(
            request=request,
            route=route,
            service=service,
            request_id=request_id(request.headers),
            key=key,
            deadline_ms=request.arrived_ms
            + response_timeout_ms(route, request),
            is_urgent=configuration.is_most_urgent(route, service),
            access=access,
            key_digest=digest,
        )
        response = await self._admit_and_serve(pending)
        if (
            pending.has_failed_attempt
            or response.status >= HTTPStatus.BAD_REQUEST
        ):
            self._log.log_final_response(pending, response.status)
        return response

    async def _admit_and_serve(self, pending: PendingRequest) -> Response:
        if not self._shutdown_gate.may_send(pending):
            return self._shutdown_gate.refuse(pending)
        self._shutdown_gate.record_taken(pending)
        with self._shutdown_log.watch(pending):
            response = await self._serve_within_quota(pending)
        return self._deadlines.limit_body(
            pending,
            response,
            functools.partial(self._shutdown_gate.record_duration, pending),
        )

    async def _serve_within_quota(self, pending: PendingRequest) -> Response:
        """Return the response to a request, or a 429 beyond the quota.

        The VM that a request is handed over to checks the quota.
        """
        workspace = pending.workspace
        if workspace is None or not workspace.has_quota or self._is_cut_off:
            return await self._serve_before_deadline(pending)
        wait_ms = self._quotas.try_admit(workspace)
        if wait_ms:
            return self._refusals.refuse_over_quota(
                pending.request,
                workspace,
                wait_ms,
                self._quotas.share(workspace),
            )
        response = await self._serve_before_deadline(pending)
        if not pending.delivered_attempts and not pending.may_have_run:
            self._quotas.give_back(workspace)
        return response

    async def _serve_before_deadline(self, pending: PendingRequest) -> Response:
        try:
            async with self._deadlines.enforce(pending):
                return await self._serve(pending)
        except TimeoutError:
            return self._shutdown_gate.respond_when_due(pending)
        except Exception:
            if pending.may_have_run or pending.fallback:
                raise
            return self._refusals.refuse_after_error(
                pending.request, _REFUSED_RETRY_MS
            )

    async def _serve(self, pending: PendingRequest) -> Response:
        if self._handover and self._is_cut_off:
            return await self._handover.forward(pending)
        self._budget.count_request(pending.service)
        refusal = await self._set_fingerprint(pending)
        if refusal:
            return refusal
        connect_failures = 0
        response: Response | None = None
        while response is None and connect_failures <= _MAX_CONNECT_FAILURES:
            choice = self._permit(pending, await self._gate.choose(pending))
            if isinstance(choice, Response):
                return choice
            outcome = await self._attempt(pending, choice)
            connect_failures += outcome == NotRun(has_reached_upstream=False)
            response = final_response(pending, outcome)
        return response or self._fallback_or_refusal(pending, 'connect')

    async def _set_fingerprint(
        self, pending: PendingRequest
    ) -> Response | None:
        """Set the fingerprint, or return the response if there is no upstream.

        An upstream is looked for first, so that a request that cannot be sent
        doesn't wait for its body. If requests may wait for room, the body
        arrives meanwhile.
        """
        request = pending.request
        if not request.body.is_empty and not self._gate.is_active:
            placement = pending.placement_request(self._clock.now_ms())
            choice = self._isolation.choose(placement, pending.fingerprint)
            permitted = self._permit(pending, choice)
            if isinstance(permitted, Response):
                return permitted
        pending.fingerprint = request_fingerprint(
            request.caller,
            f'{pending.service} '.encode() + request.target,
            await request.body.read_prefix(BODY_PREFIX_BYTES),
        )
        return None

    def _permit(
        self, pending: PendingRequest, choice: Placed | NotPlaced
    ) -> Placed | Response:
        """Return the upstream, or the response if there is none."""
        if isinstance(choice, NotPlaced):
            reason = choice.reason.value
            if choice.reason in _BLAME_REASONS:
                verdict = self._isolation.verdict(pending.fingerprint)
                self._log.log_verdict(pending, verdict)
            return self._fallback_or_refusal(
                pending,
                reason,
                choice.retry_after_ms,
            )
        if not self._shutdown_gate.may_send(pending):
            return pending.fallback or self._shutdown_gate.refuse(pending)
        if pending.delivered_attempts and not self._try_spend_retry(pending):
            return self._fallback_or_refusal(pending, 'budget')
        return choice

    def _fallback_or_refusal(
        self,
        pending: PendingRequest,
        reason: str,
        retry_after_ms: float = _REFUSED_RETRY_MS,
    ) -> Response:
        """Return the response from an earlier attempt, or else a refusal."""
        if pending.fallback:
            return pending.fallback
        return self._refusals.refuse(pending.request, reason, retry_after_ms)

    async def _attempt(
        self,
        pending: PendingRequest,
        choice: Placed,
    ) -> AttemptOutcome:
        upstream = choice.state.upstream
        pending.excluded.add(upstream.id)
        pending.choice = choice
        self._metrics.choices.labels(choice.reason.value).inc()
        self._cold_limiter.count_request(upstream.id)
        self._limits.count_request(upstream.incarnation)
        may_have_run = pending.may_have_run
        outcome = await self._sender.send(pending, choice.state)
        self._gate.record_end(
            pending, choice.state, is_answered=isinstance(outcome, Answered)
        )
        if isinstance(outcome, NotRun):
            pending.may_have_run = may_have_run
        if outcome != NotRun(has_reached_upstream=False):
            pending.delivered_attempts += 1
        if not isinstance(outcome, Answered) or outcome.is_failure:
            pending.has_failed_attempt = True
            self._log.log_failed_attempt(pending, choice, outcome.name)
        return outcome

    def _try_spend_retry(self, pending: PendingRequest) -> bool:
        is_allowed = (
            pending.delivered_attempts < pending.route.max_attempts
            and pending.can_resend
            and self._budget.try_spend(pending.service)
        )
        self._metrics.extra_attempts.labels(str(is_allowed)).inc()
        return is_allowed

    def _next_keyless_key(self) -> str:
        self._keyless_count += 1
        return f'keyless-{self._keyless_count % _KEYLESS_BUCKETS}'
