"""The body of a caller's request, as it arrives."""

import asyncio
from typing import Protocol, final

import attrs

# Bytes kept so that a request which did not run can be sent elsewhere.
_MAX_REPLAY_BYTES = 1_048_576
# Bytes that may wait for a slow upstream before the caller is slowed.
_MAX_UNREAD_BYTES = 262_144
_PAUSE_REASON = 'body'


class BodySource(Protocol):
    """Where the body comes from."""

    def set_paused(self, reason: str, *, is_paused: bool) -> None:
        """Read only while there is no reason to pause."""

    def send_continue(self) -> None:
        """Tell a caller who waits for it that the body is wanted."""


@final
@attrs.define(eq=False)
class RequestBody:
    """Parts of a body, kept for replay up to a limit.

    Args:
        source: The caller's connection.
        is_chunked: Whether the length is not known from the head.
        length: Length that the head states.
        awaits_invitation: The caller holds the body back until it is wanted.
    """

    _source: BodySource
    is_chunked: bool
    length: int
    expects_continue: bool = False
    is_complete: bool = attrs.field(init=False, default=False)
    can_replay: bool = attrs.field(init=False, default=True)
    received_bytes: int = attrs.field(init=False, default=0)
    _chunks: list[bytes] = attrs.field(init=False, factory=list)
    _first_index: int = attrs.field(init=False, default=0)
    _total_bytes: int = attrs.field(init=False, default=0)
    _unread_bytes: int = attrs.field(init=False, default=0)
    _changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_empty(self) -> bool:
        """Return whether the request has no body."""
        return not self.is_chunked and self.length == 0

    @property
    def buffered_body(self) -> bytes | None:
        """Return the whole body if it has come and was kept."""
        if self.is_complete and self.can_replay:
            return b''.join(self._chunks)
        return None

    def add_chunk(self, chunk: bytes) -> None:
        """Keep a part that has arrived."""
        self.received_bytes += len(chunk)
        self._chunks.append(chunk)
        self._total_bytes += len(chunk)
        self._unread_bytes += len(chunk)
        if self._total_bytes > _MAX_REPLAY_BYTES:
            self.can_replay = False
        if self._unread_bytes > _MAX_UNREAD_BYTES:
            self._source.set_paused(_PAUSE_REASON, is_paused=True)
        self._changed.set()

    def finish(self) -> None:
        """Note that the whole body has arrived.

        What is read next belongs to the next request, so this body no longer
        holds the caller up.
        """
        self.is_complete = True
        self._resume()
        self._changed.set()

    def discard(self) -> None:
        """Drop what came and let the rest come; nobody reads it."""
        self.can_replay = False
        self._chunks.clear()
        self._unread_bytes = 0
        self._resume()

    async def read_prefix(self, size: int) -> bytes:
        """Return the first `size` bytes, or all of a shorter body.

        To be called before any part is taken.
        """
        self._send_continue()
        while not self.is_complete and self.received_bytes < size:
            self._changed.clear()
            await self._changed.wait()
        return b''.join(self._chunks)[:size]

    async def read_all(self, max_bytes: int) -> bytes | None:
        """Return the whole body, or nothing if it is larger."""
        self._send_continue()
        while not self.is_complete and self.received_bytes <= max_bytes:
            self._unread_bytes = 0
            self._resume()
            self._changed.clear()
            await self._changed.wait()
        return self.buffered_body if self.received_bytes <= max_bytes else None

    async def read_chunk(self, index: int) -> bytes | None:
        """Return the part at `index`, or nothing after the last one."""
        self._send_continue()
        while index - self._first_index >= len(self._chunks):
            if self.is_complete:
                return None
            self._changed.clear()
            await self._changed.wait()
        chunk = self._chunks[index - self._first_index]
        self._mark_read(index, len(chunk))
        return chunk

    def _resume(self) -> None:
        self._source.set_paused(_PAUSE_REASON, is_paused=False)

    def _send_continue(self) -> None:
        if self.expects_continue and not self.received_bytes:
            self._source.send_continue()
        self.expects_continue = False

    def _mark_read(self, index: int, size: int) -> None:
        self._unread_bytes = max(0, self._unread_bytes - size)
        if self._unread_bytes < _MAX_UNREAD_BYTES and not self.is_complete:
            self._resume()
        if not self.can_replay:
            read_count = index + 1 - self._first_index
            self._chunks = self._chunks[read_count:]
            self._first_index = index + 1
