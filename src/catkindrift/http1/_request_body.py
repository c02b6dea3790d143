"""The body of a caller's request, as it arrives."""

import asyncio
from typing import Protocol, final

import attrs

# Bytes kept so that a request which did not run can be sent elsewhere.
_REPLAY_BYTES = 1_048_576
# Bytes that may wait for a slow upstream before the caller is slowed.
_AHEAD_BYTES = 262_144
_PAUSE_REASON = 'body'


class BodySource(Protocol):
    """Where the body comes from."""

    def set_paused(self, reason: str, *, is_paused: bool) -> None:
        """Read only while there is no reason to pause."""

    def invite_body(self) -> None:
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
    awaits_invitation: bool = False
    is_complete: bool = attrs.field(init=False, default=False)
    can_replay: bool = attrs.field(init=False, default=True)
    received: int = attrs.field(init=False, default=0)
    _parts: list[bytes] = attrs.field(init=False, factory=list)
    _first_part: int = attrs.field(init=False, default=0)
    _kept: int = attrs.field(init=False, default=0)
    _unread: int = attrs.field(init=False, default=0)
    _changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def is_empty(self) -> bool:
        """Return whether the request has no body."""
        return not self.is_chunked and self.length == 0

    @property
    def wholly_kept(self) -> bytes | None:
        """Return the whole body if it has come and was kept."""
        if self.is_complete and self.can_replay:
            return b''.join(self._parts)
        return None

    def add(self, chunk: bytes) -> None:
        """Keep a part that has arrived."""
        self.received += len(chunk)
        self._parts.append(chunk)
        self._kept += len(chunk)
        self._unread += len(chunk)
        if self._kept > _REPLAY_BYTES:
            self.can_replay = False
        if self._unread > _AHEAD_BYTES:
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
        self._parts.clear()
        self._unread = 0
        self._resume()

    async def read_prefix(self, size: int) -> bytes:
        """Return the first `size` bytes, or all of a shorter body.

        To be called before any part is taken.
        """
        self._invite()
        while not self.is_complete and self.received < size:
            self._changed.clear()
            await self._changed.wait()
        return b''.join(self._parts)[:size]

    async def read_whole(self, most_bytes: int) -> bytes | None:
        """Return the whole body, or nothing if it is larger."""
        self._invite()
        while not self.is_complete and self.received <= most_bytes:
            self._unread = 0
            self._resume()
            self._changed.clear()
            await self._changed.wait()
        return self.wholly_kept if self.received <= most_bytes else None

    async def next_part(self, index: int) -> bytes | None:
        """Return the part at `index`, or nothing after the last one."""
        self._invite()
        while index - self._first_part >= len(self._parts):
            if self.is_complete:
                return None
            self._changed.clear()
            await self._changed.wait()
        part = self._parts[index - self._first_part]
        self._taken(index, len(part))
        return part

    def _resume(self) -> None:
        self._source.set_paused(_PAUSE_REASON, is_paused=False)

    def _invite(self) -> None:
        if self.awaits_invitation and not self.received:
            self._source.invite_body()
        self.awaits_invitation = False

    def _taken(self, index: int, size: int) -> None:
        self._unread = max(0, self._unread - size)
        if self._unread < _AHEAD_BYTES and not self.is_complete:
            self._resume()
        if not self.can_replay:
            gone = index + 1 - self._first_part
            self._parts = self._parts[gone:]
            self._first_part = index + 1
