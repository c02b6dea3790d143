"""Rate-limited, non-blocking output for log lines."""

import os
import select
from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock

# Writing more lines would cost more than the requests they describe.
_MAX_LINES_PER_WINDOW = 60
_WINDOW_MS = 1000
# A writable pipe accepts this many bytes without blocking (PIPE_BUF).
_MAX_LINE_BYTES = 4096
# New lines are dropped while more than this waits for a slow reader.
_MAX_BUFFERED_BYTES = 131_072


@final
@attrs.define(eq=False, repr=False)
class BoundedOutput:
    """Writes lines without blocking; drops and counts the excess.

    Args:
        clock: Source of time.
        descriptor: File descriptor to write to. It is not switched to
            non-blocking mode, since other processes may share it; it is
            written to only when it is ready.
    """

    _clock: Clock
    _descriptor: int = 1
    dropped_lines: int = attrs.field(init=False, default=0)
    _window_start_ms: int = attrs.field(init=False, default=0)
    _lines_in_window: int = attrs.field(init=False, default=0)
    _buffer: deque[bytes] = attrs.field(init=False, factory=deque)
    _buffered_bytes: int = attrs.field(init=False, default=0)

    def write(self, line: str, *, is_rare: bool = False) -> None:
        """Write or buffer a line, or drop it if a limit is exceeded.

        Args:
            line: The line, with its line end.
            is_rare: Whether the line is exempt from the rate limit, for lines
                that a process writes a bounded number of times.
        """
        if self._can_accept_line(is_rare=is_rare):
            self._lines_in_window += not is_rare
            self._enqueue(line)
        else:
            self.dropped_lines += 1

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffer and self._is_writable():
            first = self._buffer.popleft()
            self._buffered_bytes -= len(first)
            self._write(first)

    def take_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        count = self.dropped_lines
        self.dropped_lines = 0
        return count

    def _can_accept_line(self, *, is_rare: bool) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._lines_in_window = 0
        is_slow = self._buffered_bytes > _MAX_BUFFERED_BYTES
        is_below_rate = self._lines_in_window < _MAX_LINES_PER_WINDOW
        return (is_rare or is_below_rate) and not is_slow

    def _enqueue(self, line: str) -> None:
        encoded = line.encode()[:_MAX_LINE_BYTES]
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)
        self.flush()

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)

    def _write(self, encoded: bytes) -> None:
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # The reader has closed its end.
            self.dropped_lines += 1
