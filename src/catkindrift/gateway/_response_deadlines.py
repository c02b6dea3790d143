"""Time limits of the requests in progress."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._limited_stream import LimitedStream
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import Response

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class ResponseDeadlines:
    """Ends the handling of requests when their responses are due.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _timeouts: dict[PendingRequest, asyncio.Timeout] = attrs.field(
        init=False, factory=dict
    )
    _streams: set[LimitedStream] = attrs.field(init=False, factory=set)

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._timeouts) + len(self._streams)

    @contextlib.asynccontextmanager
    async def enforce(self, pending: PendingRequest) -> AsyncIterator[None]:
        """Limit the time in the context to that until the request is due.

        Args:
            pending: The request.

        Raises:
            TimeoutError: The response is due.
        """
        async with asyncio.timeout(self._left_s(pending)) as timeout:
            self._timeouts[pending] = timeout
            try:
                yield
            finally:
                self._timeouts.pop(pending)

    def limit_body(
        self,
        pending: PendingRequest,
        response: Response,
        on_end: Callable[[], None],
    ) -> Response:
        """Return the response with a body that ends when it is due.

        Args:
            pending: The request.
            response: Its response, of which the body may still be arriving.
            on_end: Called when the body has ended, at once if it has.
        """
        if response.body_stream is None:
            on_end()
            return response
        stream = LimitedStream(
            pending,
            response.body_stream,
            functools.partial(self._record_end, on_end),
        )
        self._streams.add(stream)
        stream.limit(self._left_s(pending))
        return attrs.evolve(response, body_stream=stream)

    def bring_forward(self, due_ms: int) -> None:
        """Make all responses due by a time, unless they are due before."""
        loop = asyncio.get_running_loop()
        for pending, timeout in self._timeouts.items():
            if pending.due_ms > due_ms:
                pending.due_ms = due_ms
                timeout.reschedule(loop.time() + self._left_s(pending))
        for stream in self._streams:
            streamed = stream.pending
            streamed.due_ms = min(streamed.due_ms, due_ms)
            stream.limit(self._left_s(streamed))

    def _record_end(
        self, on_end: Callable[[], None], ended: LimitedStream
    ) -> None:
        self._streams.discard(ended)
        on_end()

    def _left_s(self, pending: PendingRequest) -> float:
        left_ms = pending.due_ms - self._clock.now_ms()
        return left_ms / _MILLISECONDS_PER_SECOND
