"""Serves callers' requests to services."""

import base64
import functools
import itertools
from collections.abc import Iterator
from typing import final

import attrs

from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._decisions import Decisions
from catkindrift.callers._open_response import OpenResponse
from catkindrift.callers._problem_answer import problem_answer
from catkindrift.callers._relay import Relay
from catkindrift.callers._service_request import (
    ServiceRequest,
    read_service_request,
)
from catkindrift.callers._upstream_sender import UpstreamSender
from catkindrift.clock import Clock
from catkindrift.core import (
    AttemptEnded,
    Dispatch,
    Refuse,
    Replay,
    RequestArrived,
)
from catkindrift.http1 import (
    CallerRequest,
    Response,
    body_length,
    without_framing,
)
from catkindrift.retries import AttemptResult, CallerDisconnected
from catkindrift.serving import Metrics, problem_of

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class Forwarder:
    """Moves bytes between callers and upstreams; the core decides.

    Args:
        decisions: Decisions of the core.
        clock: Source of time.
        sender: Sends requests to upstreams.
        metrics: Latency histograms.
    """

    _decisions: Decisions
    _clock: Clock
    _sender: UpstreamSender
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
        """Return the answer to one request.

        Args:
            message: Head and body as they arrive.
            service: Service that the caller named.
            target: Path and query below the service.
        """
        try:
            request = await read_service_request(message, service, target)
        except BadRequestError as bad:
            return problem_answer(bad.problem)
        request_id = next(self._request_ids)
        try:
            return await self._serve(request_id, request)
        except BaseException:
            # A request whose end is not reported would hold its slot for ever.
            self._end(request_id, CallerDisconnected())
            raise

    async def _serve(
        self, request_id: int, request: ServiceRequest
    ) -> Response:
        arrival = RequestArrived(request.described(request_id))
        effect = await self._decisions.ask(request_id, arrival)
        while isinstance(effect, Dispatch):
            began_ms = self._clock.now_ms()
            ended = await self._sender.send(effect, request)
            if isinstance(ended, OpenResponse):
                return self._pass_on(ended, effect, request, began_ms)
            event = AttemptEnded(request_id, ended)
            effect = await self._decisions.ask(request_id, event)
        return _final(effect, request)

    def _pass_on(
        self,
        response: OpenResponse,
        dispatch: Dispatch,
        request: ServiceRequest,
        began_ms: int,
    ) -> Response:
        self._metrics.upstream_seconds.labels(request.service).observe(
            response.latency_ms / _MILLISECONDS_PER_SECOND,
        )
        relay = Relay(
            self._clock,
            response,
            began_ms + dispatch.time_limit_ms,
            dispatch.records_response,
            functools.partial(
                self._relay_ended,
                dispatch.request_id,
                request.service,
                response,
                began_ms,
            ),
        )
        headers = response.head.headers
        status = response.head.status
        length = body_length(headers)
        sent = without_framing(headers)
        if response.exchange.receiver.is_complete:
            return Response(status, sent, relay.take_whole(), length)
        return Response(status, sent, length=length, body_stream=relay)

    def _relay_ended(
        self,
        request_id: int,
        service: str,
        response: OpenResponse,
        began_ms: int,
        ended: AttemptResult,
    ) -> None:
        took_ms = self._clock.now_ms() - began_ms
        self._metrics.request_seconds.labels(service).observe(
            took_ms / _MILLISECONDS_PER_SECOND,
        )
        is_whole = response.exchange.receiver.is_complete
        self._sender.end(response, is_whole=is_whole)
        self._end(request_id, ended)

    def _end(self, request_id: int, ended: AttemptResult) -> None:
        self._decisions.tell(AttemptEnded(request_id, ended))


def _final(effect: Refuse | Replay, request: ServiceRequest) -> Response:
    match effect:
        case Refuse():
            closes = not request.message.body.is_complete
            return problem_answer(problem_of(effect.refusal, closes=closes))
        case Replay(answer=answer):
            return Response(
                answer.status,
                [
                    (b'Content-Type', answer.content_type.encode('latin-1')),
                    (b'Idempotency-Replayed', b'true'),
                ],
                base64.b64decode(answer.body_base64),
            )
