"""Streamed body of a response that is due at some time."""

import asyncio
from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import BodyStream


@final
@attrs.define(eq=False, repr=False)
class LimitedStream:
    """Iterates over the chunks of a body until it ends or is due.

    When it is due the upstream's connection is closed at once, also if the
    caller reads slowly.

    Args:
        pending: The request.
        stream: The body.
        on_end: Called once, when the body is whole, broken or given up.
    """

    pending: PendingRequest
    _stream: BodyStream
    _on_end: Callable[['LimitedStream'], None]
    _timer: asyncio.TimerHandle | None = attrs.field(init=False, default=None)
    _has_ended: bool = attrs.field(init=False, default=False)

    def __aiter__(self) -> Self:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises:
            BrokenAnswerError: The body ended early, or was due.
        """
        try:
            return await anext(self._stream)
        except (StopAsyncIteration, BrokenAnswerError):
            self._end()
            raise

    def close(self) -> None:
        """Stop receiving the chunks that were not read."""
        self._stream.close()
        self._end()

    def limit(self, left_s: float) -> None:
        """Make the body due after a time in seconds."""
        if self._timer:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0, left_s), self._stream.close)

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        if self._timer:
            self._timer.cancel()
        self._on_end(self)
