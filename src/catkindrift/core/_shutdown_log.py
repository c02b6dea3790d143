"""Record of what becomes of requests during a shutdown."""

from typing import final

import attrs

from catkindrift.core._effects import LogChange
from catkindrift.core._request import Request
from catkindrift.core._state import CoreState
from catkindrift.limits import TokenBucket

# As many lines as a busy entry VM may write in addition to its usual ones.
_LINES_PER_SECOND = 60
_CUT = 'cut'


@final
@attrs.define(eq=False, repr=False)
class ShutdownLog:
    """Counts and logs requests while this process is stopping.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    _lines: TokenBucket = attrs.field(init=False)
    _left_out: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Create the limit on lines."""
        self._lines = TokenBucket(
            self._state.clock, _LINES_PER_SECOND, _LINES_PER_SECOND
        )

    def record(self, request: Request, outcome: str, due_ms: int) -> None:
        """Count and log what becomes of a request, if a shutdown has begun.

        Lines of requests that are cut are exempt from the limit.

        Args:
            request: The request.
            outcome: `taken`, `refused`, `cut`, or `caller_left`.
            due_ms: When its response is due.
        """
        if not self._state.is_stopping:
            return
        self._state.shutdown_counts[outcome] += 1
        if outcome != _CUT and not self._lines.try_take():
            self._left_out += 1
            return
        left_ms = due_ms - self._state.clock.now_ms()
        self._state.emit(
            LogChange(
                f'shutdown_{outcome}: request={request.request_id} '
                f'service={request.service} left_ms={left_ms} '
                f'shutdown_left_ms={self._state.shutdown.left_ms}'
            )
        )

    def record_interrupted(
        self, request: Request, due_ms: int, *, is_due: bool
    ) -> None:
        """Record a request that ends without a whole response.

        Args:
            request: The request.
            due_ms: When its response was due.
            is_due: Whether it ends for that; otherwise its connection ended.
        """
        is_cut = is_due or self._state.shutdown.is_finished
        self.record(request, _CUT if is_cut else 'caller_left', due_ms)

    def record_phase(self, phase: str, in_progress: int) -> None:
        """Log that a phase of the shutdown begins.

        Args:
            phase: Name of the phase.
            in_progress: Number of requests without a complete response.
        """
        self._state.emit(
            LogChange(
                f'shutdown: phase={phase} in_progress={in_progress} '
                f'shutdown_left_ms={self._state.shutdown.left_ms} '
                f'lines_left_out={self._left_out}'
            )
        )
