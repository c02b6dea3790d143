"""Collects one response as it arrives."""

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._response_head import ResponseHead


@final
@attrs.define(eq=False)
class ResponseReceiver:
    """Head, body and end of one response.

    Args:
        is_own: Tells from a head whether it answers this request.
        resume: Lets the connection read on after its buffer was full.
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
        """Return whether nothing more will come."""
        return self.is_complete or self.failure is not None

    @property
    def buffered_bytes(self) -> int:
        """Return the body bytes that were not taken yet."""
        return len(self._buffer)

    def accept_head(self, head: ResponseHead) -> bool:
        """Keep the head if it answers this request."""
        if not self._matches_request(head):
            return False
        self.head = head
        self._notify_waiter()
        return True

    def add_chunk(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._buffer += chunk
        self._notify_waiter()

    def complete(self) -> None:
        """Note that the whole response has come."""
        self.is_complete = True
        self._notify_waiter()

    def fail(self, failure: ResponseFailure) -> None:
        """Note that the rest will not come."""
        if not self.has_ended:
            self.failure = failure
            self._notify_waiter()

    async def wait_for_body(self, min_bytes: int) -> None:
        """Wait until the response has ended or its buffer is full."""
        while not self.has_ended and self.buffered_bytes < min_bytes:
            await self._wait_for_change()

    async def wait_for_head(self) -> None:
        """Wait until the head has come, or nothing more will."""
        while self.head is None and not self.has_ended:
            await self._wait_for_change()

    async def read_chunk(self) -> bytes:
        """Return the next part of the body; empty when it has ended."""
        while not self._buffer and not self.has_ended:
            await self._wait_for_change()
        return self.take_buffered()

    def take_buffered(self) -> bytes:
        """Return what is buffered and let the connection read on."""
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
