"""Hands requests over to entry VMs that reach upstreams."""

import contextlib
import functools
import random
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._handed_over_requests import (
    CALLER_HEADER,
    CONFIGURATION_HEADER,
    CUT_OFF_HEADER,
)
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._permitted_headers import headers_for_peer
from catkindrift.gateway._refusals import Refusals
from catkindrift.gateway._request_log import RequestLog
from catkindrift.gateway._upstream_response import (
    MAX_BUFFERED_BYTES,
    build_response,
)
from catkindrift.http1 import (
    ClientConnection,
    ConnectionPool,
    Exchange,
    Response,
    ResponseHead,
    find_header,
)
from catkindrift.platform import with_deadline
from catkindrift.settings import Endpoint
from catkindrift.steering import (
    MemberFacts,
    Members,
    UpstreamReachability,
    nearest,
)

_MAX_TRIES = 2
_CONNECT_TIMEOUT_MS = 300.0
# Fewer are too few to share the requests of many VMs that are cut off.
_MIN_RECEIVERS = 2
# The receiver's refusal must be back before this VM's own time limit, else a
# request that reached no upstream gets a 504. The way between regions takes 20
# ms in each direction, and the receiver leaves 30 ms for it.
_RETURN_TRANSIT_MS = 30
# By then callers have a directory response without this VM.
_RETRY_MS = 1000.0


@final
@attrs.define(eq=False, repr=False)
class Handover:
    """Sends requests to another entry VM while this one is cut off.

    A request is handed over before any upstream has got it, and once: the
    receiver does not hand it on. It places, limits and retries the request as
    one of its own callers.

    Args:
        clock: Source of time.
        own: Facts about this VM.
        members: Other entry VMs.
        reachability: Whether this VM is cut off.
        refusals: Refuses what no VM takes.
        metrics: Counts outcomes.
        log: Log of requests.
        version: Returns the version of the configuration in force.
    """

    _clock: Clock
    _own: MemberFacts
    _members: Members
    _reachability: UpstreamReachability
    _refusals: Refusals
    _metrics: GatewayMetrics
    _log: RequestLog
    _version: Callable[[], int]
    _connections: ConnectionPool = attrs.field(init=False)
    _in_flight: Counter[str] = attrs.field(init=False, factory=Counter)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Create an empty pool of connections to other entry VMs."""
        self._connections = ConnectionPool(self._clock)

    @property
    def is_needed(self) -> bool:
        """Whether this VM is cut off, and another one could serve."""
        return self._reachability.is_cut_off and any(
            each.can_serve for each in self._members.alive()
        )

    async def forward(self, pending: PendingRequest) -> Response:
        """Return another entry VM's response, or a refusal."""
        tried: set[str] = set()
        response: Response | None = None
        while response is None and self._may_try(pending, tried):
            receiver = self._choose(pending, tried)
            if receiver is None:
                break
            tried.add(receiver.name)
            response = await self._try_receiver(pending, receiver)
        if response is None:
            return self._refusals.refuse(pending.request, 'cut_off', _RETRY_MS)
        return response

    def prune(self) -> None:
        """Close connections to VMs that are no longer alive."""
        alive = {each.peers for each in self._members.alive()}
        self._connections.prune(alive)

    def _may_try(self, pending: PendingRequest, tried: set[str]) -> bool:
        is_last = len(tried) == _MAX_TRIES
        return not tried or (pending.can_resend and not is_last)

    def _choose(
        self, pending: PendingRequest, tried: set[str]
    ) -> MemberFacts | None:
        """Return the less busy one of two near VMs that may take a request."""
        homes = pending.home_regions
        able = [
            each
            for each in self._members.alive()
            if each.can_serve
            and each.name not in tried
            and (homes is None or each.region in homes)
        ]
        near = nearest(able, self._own.zone, self._own.region, _MIN_RECEIVERS)
        sample = self._rng.sample(near, min(len(near), 2))
        return min(sample, key=self._count_in_flight, default=None)

    def _count_in_flight(self, receiver: MemberFacts) -> int:
        return self._in_flight[receiver.name]

    async def _try_receiver(
        self, pending: PendingRequest, receiver: MemberFacts
    ) -> Response | None:
        with contextlib.ExitStack() as stack:
            self._in_flight[receiver.name] += 1
            stack.callback(self._in_flight.subtract, (receiver.name,))
            outcome, response = await self._send(pending, receiver)
        self._metrics.handovers.labels(outcome).inc()
        if outcome != 'answered':
            self._log.log_handover(pending, receiver.name, outcome)
        return response

    async def _send(
        self, pending: PendingRequest, receiver: MemberFacts
    ) -> tuple[str, Response | None]:
        """Return the outcome of a hand-over, and the response to forward."""
        connection = await self._connect(receiver)
        if connection is None or not connection.is_reusable:
            return 'no_connection', None
        request = pending.request
        exchange = Exchange(request, connection, pending.matches_response)
        left_ms = pending.due_ms - self._clock.now_ms() - _RETURN_TRANSIT_MS
        headers = with_deadline(headers_for_peer(pending), max(1, left_ms))
        headers += [
            (CALLER_HEADER, request.caller.encode()),
            (CONFIGURATION_HEADER, b'%d' % self._version()),
        ]
        pending.may_have_run = True
        exchange.send_head(request.target, headers)
        try:
            await exchange.send_until(
                exchange.receiver.wait_for_body(MAX_BUFFERED_BYTES)
            )
        except BaseException:
            connection.abort()
            raise
        return self._evaluate(pending, receiver, exchange)

    def _evaluate(
        self,
        pending: PendingRequest,
        receiver: MemberFacts,
        exchange: Exchange,
    ) -> tuple[str, Response | None]:
        head = exchange.receiver.head
        is_broken = head is None or bool(exchange.receiver.failure)
        if head is None or is_broken or not _may_forward(pending, head):
            exchange.connection.abort()
            # The receiver may have made all attempts that the route allows.
            return 'broken', Response(HTTPStatus.BAD_GATEWAY)
        finish = functools.partial(self._finish, receiver, exchange)
        response = build_response(exchange.receiver, head, finish)
        if _is_refused_as_cut_off(head):
            pending.may_have_run = False
            return 'cut_off', None
        return 'answered', response

    def _finish(
        self, receiver: MemberFacts, exchange: Exchange, is_whole: bool
    ) -> None:
        if is_whole:
            self._connections.give_back(receiver.peers, exchange.connection)
        else:
            exchange.connection.abort()

    async def _connect(self, receiver: MemberFacts) -> ClientConnection | None:
        connection = self._connections.take(receiver.peers)
        if connection:
            return connection
        endpoint = Endpoint.parse(receiver.peers)
        try:
            return await self._connections.connect(
                receiver.peers,
                endpoint.host,
                endpoint.port,
                _CONNECT_TIMEOUT_MS,
            )
        except OSError:
            return None


def _is_refused_as_cut_off(head: ResponseHead) -> bool:
    """Return whether the receiver itself refuses the request as not run."""
    is_marked = bool(find_header(head.headers, CUT_OFF_HEADER))
    return is_marked and head.status == HTTPStatus.SERVICE_UNAVAILABLE


def _may_forward(pending: PendingRequest, head: ResponseHead) -> bool:
    """Return whether a response may be forwarded.

    The receiver states "not run" only if that is true.
    """
    is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
    return not is_success or pending.may_forward(head)
