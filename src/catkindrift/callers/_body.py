"""Bodies of callers' requests."""

import time
from collections.abc import Iterator
from typing import Any, final

import attrs

from catkindrift.core import RefusalReason

CHUNK_BYTES = 65_536
HELD_BODY_BYTES = 262_144


class CallerBodyError(Exception):
    """The caller's body ended early, or broke a limit."""


class BodyLimitError(CallerBodyError):
    """The body broke a limit; the caller is still there.

    Args:
        reason: The limit.
        message: What happened.
    """

    def __init__(self, reason: RefusalReason, message: str) -> None:
        """Keep the reason for the caller's answer."""
        super().__init__(message)
        self.reason = reason


@final
@attrs.define(eq=False)
class StreamedBody:
    """A body that is read from the caller while it is sent on.

    Args:
        source: File object of the server.
        length: Announced length; nothing for a chunked body.
        max_bytes: Largest body that may be passed on.
        deadline: Time by which the body must be through, as
            ``time.monotonic`` gives it.
    """

    _source: Any
    _length: int | None
    max_bytes: int = 0
    deadline: float = 0
    sent_bytes: int = attrs.field(init=False, default=0)
    is_started: bool = attrs.field(init=False, default=False)
    broken_limit: RefusalReason | None = attrs.field(init=False, default=None)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body in pieces.

        Raises:
            CallerBodyError: The caller closed the connection early, was too
                slow, or sent more than the service accepts.
        """
        self.is_started = True
        while True:
            piece = self._read()
            if not piece:
                break
            self.sent_bytes += len(piece)
            self._check_limits()
            yield piece
        if self._length is not None and self.sent_bytes < self._length:
            raise CallerBodyError('the caller closed the connection early')

    def _read(self) -> bytes:
        wanted = CHUNK_BYTES
        if self._length is not None:
            wanted = min(wanted, self._length - self.sent_bytes)
        if not wanted:
            return b''
        try:
            return bytes(self._source.read(wanted))
        except (OSError, ValueError) as broken:
            raise CallerBodyError('the caller sent a broken body') from broken

    def _check_limits(self) -> None:
        if self.sent_bytes > self.max_bytes:
            self._break_limit(RefusalReason.BODY_TOO_LARGE)
        if time.monotonic() > self.deadline:
            self._break_limit(RefusalReason.DEADLINE)

    def _break_limit(self, reason: RefusalReason) -> None:
        self.broken_limit = reason
        raise BodyLimitError(reason, f'the upload broke a limit: {reason}')


Body = bytes | StreamedBody
