"""Serves callers' requests to services."""

import base64
import functools
import itertools
import time
from collections.abc import Iterable
from typing import Any, final

import attrs

from catkindrift.callers._caller_request import (
    BadRequestError,
    CallerRequest,
    read_request,
)
from catkindrift.callers._relay import Relay
from catkindrift.callers._upstream_client import OpenAnswer, UpstreamClient
from catkindrift.clock import Clock
from catkindrift.core import (
    AttemptEnded,
    Dispatch,
    Refusal,
    Refuse,
    Replay,
    Request,
    RequestArrived,
)
from catkindrift.retries import (
    AttemptResult,
    Broken,
    BrokenReason,
    CallerGone,
    Outcome,
)
from catkindrift.serving import Bridge, Metrics, Problem, problem_of

_MILLISECONDS_PER_SECOND = 1000
_NOTHING: tuple[bytes, ...] = ()


@final
@attrs.define(eq=False)
class Forwarder:
    """Moves bytes between callers and upstreams; the loop decides.

    Args:
        bridge: Passage to the loop.
        clock: Source of time.
        client: Sends requests to upstreams.
        metrics: Latency histograms.
    """

    _bridge: Bridge
    _clock: Clock
    _client: UpstreamClient
    _metrics: Metrics
    _request_ids: Any = attrs.field(
        init=False,
        factory=lambda: itertools.count(1),
    )

    def serve(
        self,
        environ: Any,
        start_response: Any,
        service: str,
        target: str,
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application does.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable.
            service: Service that the caller named.
            target: Path and query below the service.
        """
        try:
            request = read_request(environ, service, target)
        except BadRequestError as bad:
            return answer_problem(start_response, bad.problem)
        request_id = next(self._request_ids)
        arrival = RequestArrived(self._describe(request_id, request))
        effect = self._bridge.ask(request_id, arrival)
        while isinstance(effect, Dispatch):
            started = time.monotonic()
            opened = self._open(effect, request)
            if isinstance(opened, OpenAnswer):
                relay = self._relay(opened, effect, service, started)
                start_response(relay.status_line, relay.headers)
                return relay
            if isinstance(opened, CallerGone):
                self._end(request_id, opened)
                return _caller_gone(start_response, request)
            ended = AttemptEnded(request_id, opened)
            effect = self._bridge.ask(request_id, ended)
        return self._answer(start_response, effect, request)

    def _open(
        self,
        dispatch: Dispatch,
        request: CallerRequest,
    ) -> OpenAnswer | AttemptResult:
        """Make an attempt, and report its end whatever happens.

        An attempt whose end is not reported would hold its slot for ever.
        """
        try:
            return self._client.open(dispatch, request)
        except Exception:
            broken = Broken(BrokenReason.INCOMPLETE, can_resend=False)
            self._end(dispatch.request_id, broken)
            raise

    def _describe(self, request_id: int, request: CallerRequest) -> Request:
        deadline_ms = 0
        if request.timeout_ms:
            deadline_ms = self._clock.now_ms() + request.timeout_ms
        return Request(
            request_id=request_id,
            service=request.service,
            caller=request.caller,
            method=request.method,
            fingerprint=request.fingerprint,
            deadline_ms=deadline_ms,
            body_bytes=request.length,
            is_held=request.is_held,
            idempotency_key=request.idempotency_key,
        )

    def _relay(
        self,
        opened: OpenAnswer,
        dispatch: Dispatch,
        service: str,
        started: float,
    ) -> Relay:
        self._metrics.upstream_seconds.labels(service).observe(
            opened.latency_ms / _MILLISECONDS_PER_SECOND,
        )
        left = dispatch.time_limit_ms / _MILLISECONDS_PER_SECOND
        return Relay(
            opened,
            functools.partial(
                self._relay_ended,
                dispatch.request_id,
                service,
                started,
            ),
            started + left,
            dispatch.keeps_answer,
        )

    def _relay_ended(
        self,
        request_id: int,
        service: str,
        started: float,
        ended: AttemptResult,
    ) -> None:
        self._metrics.request_seconds.labels(service).observe(
            time.monotonic() - started,
        )
        self._end(request_id, ended)

    def _end(self, request_id: int, ended: AttemptResult) -> None:
        self._bridge.tell(AttemptEnded(request_id, ended))

    def _answer(
        self,
        start_response: Any,
        effect: Refuse | Replay,
        request: CallerRequest,
    ) -> Iterable[bytes]:
        match effect:
            case Refuse():
                closes = not request.is_held
                problem = problem_of(effect.refusal, closes=closes)
                return answer_problem(start_response, problem)
            case Replay(answer=answer):
                body = base64.b64decode(answer.body_base64)
                start_response(
                    f'{answer.status} Replayed',
                    [
                        ('Content-Type', answer.content_type),
                        ('Content-Length', str(len(body))),
                        ('Idempotency-Replayed', 'true'),
                    ],
                )
                return (body,)


def answer_problem(start_response: Any, problem: Problem) -> Iterable[bytes]:
    """Send an error answer."""
    start_response(problem.status_line, problem.headers())
    return (problem.body,)


def _caller_gone(
    start_response: Any,
    request: CallerRequest,
) -> Iterable[bytes]:
    """Close the connection, with an answer if the caller may still read it."""
    broken_limit = getattr(request.body, 'broken_limit', None)
    if broken_limit is not None:
        refusal = Refusal(broken_limit, Outcome.UNKNOWN)
        problem = problem_of(refusal, closes=True)
        return answer_problem(start_response, problem)
    start_response(
        '400 Bad Request',
        [('Content-Length', '0'), ('Connection', 'close')],
    )
    return _NOTHING
