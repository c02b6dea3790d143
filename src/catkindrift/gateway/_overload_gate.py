"""Lets requests wait until an upstream has room."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable, Iterator
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.overload import (
    Decision,
    ServiceQueue,
    WaitingRequest,
    rank_of,
)
from catkindrift.steering import NotPlaced, Placed, UpstreamState

_MILLISECONDS_PER_SECOND = 1000
# Room that a report's age makes likely is found after this time.
_LOOK_AGAIN_S = 0.005

_Choice = Placed | NotPlaced


@final
@attrs.define(eq=False, repr=False)
class OverloadGate:
    """Runs the queues of all services on the event loop.

    Args:
        clock: Source of time.
        isolation: Chooses upstreams.
        average_ms: Returns the average latency of a service.
        is_enabled: Whether requests may wait at all.
        metrics: Counts waiting requests and their waits.
    """

    _clock: Clock
    _isolation: SuspectIsolation
    _average_ms: Callable[[str], float]
    _is_enabled: bool
    _metrics: GatewayMetrics
    _queues: dict[str, ServiceQueue] = attrs.field(init=False, factory=dict)
    _pending: dict[WaitingRequest, PendingRequest] = attrs.field(
        init=False, factory=dict
    )
    _promises: dict[WaitingRequest, asyncio.Future[_Choice]] = attrs.field(
        init=False, factory=dict
    )
    _timers: set[str] = attrs.field(init=False, factory=set)
    # Below zero, so that they differ from those of attempts.
    _tokens: Iterator[int] = attrs.field(
        init=False, factory=lambda: itertools.count(-1, -1)
    )
    _reserved: dict[WaitingRequest, tuple[UpstreamState, int]] = attrs.field(
        init=False, factory=dict
    )

    @property
    def is_active(self) -> bool:
        """Whether requests may wait at all."""
        return self._is_enabled

    async def choose(self, pending: PendingRequest) -> _Choice:
        """Return an upstream once one has room, or why there is none.

        Args:
            pending: The request. Its slot counts as taken until the call
                returns, and the caller sends it without waiting again.
        """
        if not self.is_active:
            return self._place(pending, None)
        request = _waiting_request(pending, self._clock.now_ms())
        queue = self._queue(pending.service)
        promise = asyncio.get_running_loop().create_future()
        self._pending[request] = pending
        self._promises[request] = promise
        with contextlib.ExitStack() as stack:
            stack.callback(self._forget, queue, request)
            return await self._wait(pending.service, request, promise)

    def record_end(
        self,
        pending: PendingRequest,
        state: UpstreamState,
        *,
        is_answered: bool,
    ) -> None:
        """Record the end of an attempt, which may have made room.

        Args:
            pending: The request.
            state: Its upstream.
            is_answered: Whether the upstream has sent a response.
        """
        if not self.is_active:
            return
        service = pending.service
        now_ms = self._clock.now_ms()
        if is_answered:
            slots = state.upstream.slots
            queued = max(0, state.load(now_ms) - slots)
            delay_ms = queued * self._average_ms(service) / slots
            self._queue(service).record_response(now_ms, delay_ms)
        self._release(service)

    def _forget(self, queue: ServiceQueue, request: WaitingRequest) -> None:
        """Remove a request that is sent now, refused, or given up."""
        queue.discard(request)
        self._pending.pop(request)
        self._promises.pop(request)
        if request in self._reserved:
            state, token = self._reserved.pop(request)
            state.record_end(token)

    async def _wait(
        self,
        service: str,
        request: WaitingRequest,
        promise: asyncio.Future[_Choice],
    ) -> _Choice:
        now_ms = self._clock.now_ms()
        average_ms = self._average_ms(service)
        self._settle(
            self._queue(service).offer(
                request, now_ms, average_ms, self._reserve
            )
        )
        if not promise.done():
            self._metrics.queued_requests.labels(_kind(request)).inc()
            self._look_again_later(service)
        choice = await promise
        waited_ms = self._clock.now_ms() - now_ms
        self._metrics.queue_seconds.observe(
            waited_ms / _MILLISECONDS_PER_SECOND
        )
        return choice

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(random.Random())
            self._queues[service] = queue
        return queue

    def _place(self, pending: PendingRequest, fill: float | None) -> _Choice:
        placement = pending.placement_request(self._clock.now_ms())
        if fill is not None:
            placement = attrs.evolve(placement, max_fill=fill)
        return self._isolation.choose(placement, pending.fingerprint)

    def _reserve(self, request: WaitingRequest, fill: float | None) -> _Choice:
        """Return an upstream and take its slot until the request is sent."""
        choice = self._place(self._pending[request], fill)
        if isinstance(choice, Placed):
            token = next(self._tokens)
            choice.state.record_request(token, '', self._clock.now_ms())
            self._reserved[request] = (choice.state, token)
        return choice

    def _release(self, service: str) -> None:
        queue = self._queue(service)
        if len(queue):
            now_ms = self._clock.now_ms()
            average_ms = self._average_ms(service)
            self._settle(queue.release(now_ms, average_ms, self._reserve))
        if len(queue):
            self._look_again_later(service)

    def _settle(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            promise = self._promises[decision.request]
            if not promise.done():
                promise.set_result(decision.choice)

    def _look_again_later(self, service: str) -> None:
        if service not in self._timers:
            self._timers.add(service)
            loop = asyncio.get_running_loop()
            loop.call_later(_LOOK_AGAIN_S, self._look_again, service)

    def _look_again(self, service: str) -> None:
        self._timers.discard(service)
        self._release(service)


def _waiting_request(pending: PendingRequest, now_ms: int) -> WaitingRequest:
    workspace = pending.workspace
    return WaitingRequest(
        rank_of(
            workspace.priority if workspace else None, pending.route.priority
        ),
        workspace.name if workspace else '',
        pending.request.caller,
        now_ms,
        pending.request.arrived_ms + pending.route.objective_ms,
        pending.due_ms,
        is_retry=pending.delivered_attempts > 0,
    )


def _kind(request: WaitingRequest) -> str:
    """Return a label with few values: whether it is sent the first time."""
    return 'retry' if request.is_retry else 'first'
