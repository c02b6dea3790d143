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

    _is_own: Callable[[ResponseHead], bool]
    _resume: Callable[[], None]
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
    def buffered(self) -> int:
        """Return the body bytes that were not taken yet."""
        return len(self._buffer)

    def accepts(self, head: ResponseHead) -> bool:
        """Keep the head if it answers this request."""
        if not self._is_own(head):
            return False
        self.head = head
        self._wake()
        return True

    def add(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._buffer += chunk
        self._wake()

    def complete(self) -> None:
        """Note that the whole response has come."""
        self.is_complete = True
        self._wake()

    def fail(self, failure: ResponseFailure) -> None:
        """Note that the rest will not come."""
        if not self.has_ended:
            self.failure = failure
            self._wake()

    async def wait_for(self, most_bytes: int) -> None:
        """Wait until the response has ended or its buffer is full."""
        while not self.has_ended and self.buffered < most_bytes:
            await self._changed()

    async def wait_for_head(self) -> None:
        """Wait until the head has come, or nothing more will."""
        while self.head is None and not self.has_ended:
            await self._changed()

    async def next_chunk(self) -> bytes:
        """Return the next part of the body; empty when it has ended."""
        while not self._buffer and not self.has_ended:
            await self._changed()
        return self.take()

    def take(self) -> bytes:
        """Return what is buffered and let the connection read on."""
        taken = bytes(self._buffer)
        self._buffer.clear()
        self._resume()
        return taken

    async def _changed(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)
