"""Forwards callers' requests to upstreams."""

import base64
import functools
import itertools
from collections.abc import Callable, Iterator
from typing import final

import attrs

from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._open_response import OpenResponse
from catkindrift.callers._pending_decisions import PendingDecisions
from catkindrift.callers._problem_response import problem_response
from catkindrift.callers._relay import Relay
from catkindrift.callers._service_request import (
    ServiceRequest,
    read_head,
    with_body,
)
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.callers._upstream_headers import HEADER_RULES
from catkindrift.callers._upstream_sender import UpstreamSender
from catkindrift.clock import Clock
from catkindrift.core import (
    AttemptEnded,
    BodyMissed,
    Dispatch,
    Event,
    Refuse,
    Replay,
    Request,
    RequestArrived,
)
from catkindrift.http1 import (
    CallerRequest,
    Response,
    body_length,
)
from catkindrift.retries import AttemptResult, CallerDisconnected
from catkindrift.serving import Metrics, refusal_problem

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class Forwarder:
    """Forwards requests and responses as the core decides.

    Args:
        decisions: Delivers the core's decisions.
        may_read_body: Returns whether to wait for the body of a request.
        clock: Source of time.
        sender: Sends requests to upstreams.
        limits: Time limits of the requests in progress.
        metrics: Latency histograms.
    """

    _decisions: PendingDecisions
    _may_read_body: Callable[[Request], bool]
    _clock: Clock
    _sender: UpstreamSender
    _limits: TimeLimits
    _metrics: Metrics
    _request_ids: Iterator[int] = attrs.field(
        init=False,
        factory=functools.partial(itertools.count, 1),
    )

    async def serve(
        self,
        message: CallerRequest,
        service: str,
        target: bytes,
    ) -> Response:
        """Return the response to one request.

        Args:
            message: Head, and body as it arrives.
            service: Name of the requested service.
            target: Path and query below the service.
        """
        try:
            request = read_head(message, service, target)
        except BadRequestError as invalid:
            return problem_response(invalid.problem)
        request_id = next(self._request_ids)
        try:
            return await self._read_and_serve(request_id, request)
        except BaseException:
            # Unless the end is reported, the core never frees the slot.
            self._report_result(request_id, CallerDisconnected())
            raise

    async def _read_and_serve(
        self, request_id: int, head: ServiceRequest
    ) -> Response:
        if not self._may_wait_for_body(request_id, head):
            return await self._refuse_unread(request_id, head)
        try:
            request = await with_body(head, self._limits)
        except BadRequestError as invalid:
            if self._limits.have_ended:
                return await self._refuse_unread(request_id, head)
            return problem_response(invalid.problem)
        event = RequestArrived(request.to_core_request(request_id))
        return await self._serve(request_id, request, event)

    def _may_wait_for_body(self, request_id: int, head: ServiceRequest) -> bool:
        return head.message.body.is_complete or self._may_read_body(
            head.to_core_request(request_id)
        )

    async def _refuse_unread(
        self, request_id: int, head: ServiceRequest
    ) -> Response:
        """Refuse a request whose body a stop does not wait for."""
        event = BodyMissed(head.to_core_request(request_id))
        return await self._serve(request_id, head, event)

    async def _serve(
        self, request_id: int, request: ServiceRequest, arrival: Event
    ) -> Response:
        effect = await self._decisions.request_decision(request_id, arrival)
        while isinstance(effect, Dispatch):
            started_ms = self._clock.now_ms()
            sent = await self._sender.send(effect, request)
            if isinstance(sent, OpenResponse):
                return self._forward_response(sent, effect, request, started_ms)
            event = AttemptEnded(request_id, sent)
            effect = await self._decisions.request_decision(request_id, event)
        return _final_response(effect, request)

    def _forward_response(
        self,
        response: OpenResponse,
        dispatch: Dispatch,
        request: ServiceRequest,
        started_ms: int,
    ) -> Response:
        self._metrics.upstream_seconds.labels(request.service).observe(
            response.latency_ms / _MILLISECONDS_PER_SECOND,
        )
        relay = Relay(
            self._limits,
            response,
            started_ms + dispatch.time_limit_ms,
            dispatch.records_response,
            functools.partial(
                self._finish_response,
                dispatch.request_id,
                request.service,
                response,
                started_ms,
            ),
        )
        headers = response.head.headers
        status = response.head.status
        length = body_length(headers)
        sent = HEADER_RULES.forwarded(headers)
        if response.exchange.receiver.is_complete:
            return Response(status, sent, relay.take_body(), length)
        return Response(status, sent, length=length, body_stream=relay)

    def _finish_response(
        self,
        request_id: int,
        service: str,
        response: OpenResponse,
        started_ms: int,
        attempt_result: AttemptResult,
    ) -> None:
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.request_seconds.labels(service).observe(
            took_ms / _MILLISECONDS_PER_SECOND,
        )
        is_whole = response.exchange.receiver.is_complete
        self._sender.release(response, is_whole=is_whole)
        self._report_result(request_id, attempt_result)

    def _report_result(
        self, request_id: int, attempt_result: AttemptResult
    ) -> None:
        self._decisions.report_event(AttemptEnded(request_id, attempt_result))


def _final_response(
    effect: Refuse | Replay, request: ServiceRequest
) -> Response:
    match effect:
        case Refuse():
            has_unread_body = not request.message.body.is_complete
            return problem_response(
                refusal_problem(
                    effect.refusal, closes_connection=has_unread_body
                )
            )
        case Replay(answer=response):
            return Response(
                response.status,
                [
                    (b'Content-Type', response.content_type.encode('latin-1')),
                    (b'Idempotency-Replayed', b'true'),
                ],
                base64.b64decode(response.body_base64),
            )
