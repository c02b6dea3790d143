"""Standard output that never holds up a request."""

import os
import select
from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock

# Lines a second; more would cost more than the requests they tell of.
_LINES_PER_SECOND = 60
_WINDOW_MS = 1000
# A pipe that can be written takes this much without blocking (PIPE_BUF).
_LONGEST_LINE_BYTES = 4096
# Bytes that wait for a reader that is slow.
_MOST_WAITING_BYTES = 131_072


@final
@attrs.define(eq=False)
class BoundedOutput:
    """Writes lines as far as they fit, and counts those left out.

    Args:
        clock: Source of time.
        descriptor: Where lines go. It stays as it is, since other processes
            may share it; a write is made only when it will not block.
    """

    _clock: Clock
    _descriptor: int = 1
    left_out: int = attrs.field(init=False, default=0)
    _window_ms: int = attrs.field(init=False, default=0)
    _lines: int = attrs.field(init=False, default=0)
    _waiting: deque[bytes] = attrs.field(init=False, factory=deque)
    _waiting_bytes: int = attrs.field(init=False, default=0)

    def write(self, line: str) -> None:
        """Write a line, or leave it out when there are too many."""
        if self._has_room():
            self._lines += 1
            self._put(line)
        else:
            self.left_out += 1

    def flush(self) -> None:
        """Write what is waiting, as far as the reader takes it."""
        while self._waiting and self._is_writable():
            first = self._waiting.popleft()
            self._waiting_bytes -= len(first)
            self._write(first)

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        count = self.left_out
        self.left_out = 0
        return count

    def _has_room(self) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms - self._window_ms >= _WINDOW_MS:
            self._window_ms = now_ms
            self._lines = 0
        is_slow = self._waiting_bytes > _MOST_WAITING_BYTES
        return self._lines < _LINES_PER_SECOND and not is_slow

    def _put(self, line: str) -> None:
        encoded = line.encode()[:_LONGEST_LINE_BYTES]
        self._waiting.append(encoded)
        self._waiting_bytes += len(encoded)
        self.flush()

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)

    def _write(self, encoded: bytes) -> None:
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # Nobody reads any more.
            self.left_out += 1
