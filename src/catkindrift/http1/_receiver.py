"""Receiver of one response."""

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._response_head import ResponseHead


@final
@attrs.define(eq=False, repr=False)
class ResponseReceiver:
    """Buffers one response as it arrives.

    Args:
        matches_request: Whether a response head belongs to the request.
        resume_reading: Resumes the connection after its buffer was full.
    """

    _matches_request: Callable[[ResponseHead], bool]
    _resume_reading: Callable[[], None]
    head: ResponseHead | None = attrs.field(init=False, default=None)
    is_complete: bool = attrs.field(init=False, default=False)
    ends_with_close: bool = attrs.field(init=False, default=False)
    failure: ResponseFailure | None = attrs.field(init=False, default=None)
    _buffer: bytearray = attrs.field(init=False, factory=bytearray)
    _waiter: asyncio.Future[None] | None = attrs.field(init=False, default=None)

    @property
    def has_ended(self) -> bool:
        """Return whether the response is complete or has failed."""
        return self.is_complete or self.failure is not None

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered body bytes."""
        return len(self._buffer)

    def accept_head(self, head: ResponseHead) -> bool:
        """Store the head and return True if it matches the request."""
        if not self._matches_request(head):
            return False
        self.head = head
        self._notify_waiter()
        return True

    def add_chunk(self, chunk: bytes) -> None:
        """Buffer a chunk of the body."""
        self._buffer += chunk
        self._notify_waiter()

    def complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True
        self._notify_waiter()

    def fail(self, failure: ResponseFailure) -> None:
        """Mark the response as failed, unless it has ended."""
        if not self.has_ended:
            self.failure = failure
            self._notify_waiter()

    async def wait_for_body(self, min_bytes: int) -> None:
        """Wait until enough of the body is buffered or the response ended.

        Args:
            min_bytes: Buffered body bytes to wait for.
        """
        while not self.has_ended and self.buffered_bytes < min_bytes:
            await self._wait_for_change()

    async def wait_for_head(self) -> None:
        """Wait until the head has arrived or the response has ended."""
        while self.head is None and not self.has_ended:
            await self._wait_for_change()

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body; empty after the last one."""
        while not self._buffer and not self.has_ended:
            await self._wait_for_change()
        return self.take_buffered()

    def take_buffered(self) -> bytes:
        """Return and clear the buffer, and resume the connection."""
        chunk = bytes(self._buffer)
        self._buffer.clear()
        self._resume_reading()
        return chunk

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _notify_waiter(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)
