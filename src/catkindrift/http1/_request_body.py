"""Streamed body of a caller's request."""

import asyncio
from typing import Protocol, final

import attrs

# Body bytes kept in memory so that the request can be retried.
_MAX_REPLAY_BYTES = 1_048_576
# Unread bytes buffered for a slow upstream before reading from the caller is
# paused.
_MAX_UNREAD_BYTES = 262_144
# Smaller chunks are joined until one has so many bytes: each that waits takes
# memory and a call of its own.
_JOINED_BYTES = 16_384
_PAUSE_REASON = 'body'


class BodySource(Protocol):
    """Connection that the body arrives on."""

    def set_paused(self, reason: str, *, is_paused: bool) -> None:
        """Add or remove a reason for which reading is paused."""

    def send_continue(self) -> None:
        """Send 100 Continue to the caller."""


@final
@attrs.define(eq=False, repr=False)
class RequestBody:
    """Chunks of a body, kept for retries up to a size limit.

    Args:
        source: The caller's connection.
        is_chunked: Whether the body uses chunked transfer coding.
        length: Content-Length in bytes; 0 for a chunked body.
        expects_continue: Whether the caller waits for 100 Continue before it
            sends the body.
    """

    _source: BodySource
    is_chunked: bool
    length: int
    expects_continue: bool = False
    is_complete: bool = attrs.field(init=False, default=False)
    can_replay: bool = attrs.field(init=False, default=True)
    received_bytes: int = attrs.field(init=False, default=0)
    _is_discarded: bool = attrs.field(init=False, default=False)
    _chunks: list[bytes | bytearray] = attrs.field(init=False, factory=list)
    _read_count: int = attrs.field(init=False, default=0)
    _first_index: int = attrs.field(init=False, default=0)
    _total_bytes: int = attrs.field(init=False, default=0)
    _unread_bytes: int = attrs.field(init=False, default=0)
    _changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_empty(self) -> bool:
        """Return whether the request has no body."""
        return not self.is_chunked and self.length == 0

    @property
    def awaits_continue(self) -> bool:
        """Return whether the caller may be waiting for 100 Continue."""
        if not self.expects_continue:
            return False
        return not self.received_bytes and not self.is_complete

    @property
    def buffered_body(self) -> bytes | None:
        """Return the whole body, or None if incomplete or too large."""
        if self.is_complete and self.can_replay:
            return b''.join(self._chunks)
        return None

    def add_chunk(self, chunk: bytes) -> None:
        """Append a chunk; pause the caller if too much is unread."""
        self.received_bytes += len(chunk)
        if self._is_discarded:
            return
        if self._can_join(chunk):
            self._chunks[-1] += chunk
        elif len(chunk) < _JOINED_BYTES:
            self._chunks.append(bytearray(chunk))
        else:
            self._chunks.append(chunk)
        self._total_bytes += len(chunk)
        self._unread_bytes += len(chunk)
        if self._total_bytes > _MAX_REPLAY_BYTES:
            self.can_replay = False
        if self._unread_bytes > _MAX_UNREAD_BYTES:
            self._source.set_paused(_PAUSE_REASON, is_paused=True)
        self._changed.set()

    def finish(self) -> None:
        """Mark the body as complete.

        Resumes reading, because what follows on the connection belongs to the
        next request.
        """
        self.is_complete = True
        self._resume()
        self._changed.set()

    def discard(self) -> None:
        """Drop buffered chunks and those that follow; resume reading."""
        self._is_discarded = True
        self.can_replay = False
        self._chunks.clear()
        self._unread_bytes = 0
        self._resume()

    async def read_prefix(self, size: int) -> bytes:
        """Return the first `size` bytes, or all of a shorter body.

        Call it before any chunk is read.
        """
        self._send_continue()
        while not self.is_complete and self.received_bytes < size:
            self._changed.clear()
            await self._changed.wait()
        return b''.join(self._chunks)[:size]

    async def read_all(self, max_bytes: int) -> bytes | None:
        """Return the whole body, or None if it exceeds `max_bytes`."""
        self._send_continue()
        while not self.is_complete and self.received_bytes <= max_bytes:
            self._unread_bytes = 0
            self._resume()
            self._changed.clear()
            await self._changed.wait()
        return self.buffered_body if self.received_bytes <= max_bytes else None

    async def read_chunk(self, index: int) -> bytes | None:
        """Return the chunk at `index`, or None after the last one.

        Chunks are read in order. A body that is too large for a retry drops
        each chunk once it was read.
        """
        self._send_continue()
        while index - self._first_index >= len(self._chunks):
            if self.is_complete:
                return None
            self._changed.clear()
            await self._changed.wait()
        chunk = bytes(self._chunks[index - self._first_index])
        self._mark_read(index, len(chunk))
        return chunk

    def _can_join(self, chunk: bytes) -> bool:
        """Return whether the last chunk is unread, and small with this one."""
        if self._first_index + len(self._chunks) <= self._read_count:
            return False
        last = self._chunks[-1]
        is_open = isinstance(last, bytearray)
        return is_open and len(last) + len(chunk) <= _JOINED_BYTES

    def _resume(self) -> None:
        self._source.set_paused(_PAUSE_REASON, is_paused=False)

    def _send_continue(self) -> None:
        if self.awaits_continue:
            self._source.send_continue()
        self.expects_continue = False

    def _mark_read(self, index: int, size: int) -> None:
        self._unread_bytes = max(0, self._unread_bytes - size)
        if self._unread_bytes < _MAX_UNREAD_BYTES and not self.is_complete:
            self._resume()
        self._read_count = max(self._read_count, index + 1)
        if not self.can_replay:
            read_count = index + 1 - self._first_index
            self._chunks = self._chunks[read_count:]
            self._first_index = index + 1
