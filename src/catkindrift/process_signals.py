"""Signals that stop a process or tell it that its settings have changed.

Loads nothing that is slow, so that a program can handle signals early.
"""

import os
import signal
from collections.abc import Callable, Mapping
from types import FrameType

_STOP = frozenset((signal.SIGINT, signal.SIGTERM))
_Callback = Callable[[int, FrameType | None], object]
_Handler = _Callback | int | None
_HANDLED = (*_STOP, signal.SIGHUP)


class ProcessSignals:
    """Handles SIGINT, SIGTERM and SIGHUP for the whole life of a process.

    Until they are passed on, a stop ends the process at once with exit code
    0, as it has accepted nothing, and SIGHUP is ignored.
    """

    def __init__(self) -> None:
        """Create it; no signal is handled yet."""
        self._call_soon: Callable[[Callable[[], None]], object] | None = None
        self._callbacks: Mapping[int, Callable[[], None]] = {}
        self._is_stopping = False
        self._replaced: dict[int, _Handler] = {}

    def install(self) -> None:
        """Handle the signals from now on."""
        for number in _HANDLED:
            self._replaced[number] = signal.signal(number, self._handle)

    def pass_on(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        callbacks: Mapping[int, Callable[[], None]],
    ) -> None:
        """Call back after each signal from now on.

        The handlers stay those of the process: the event loop would remove
        its own when it closes, and then a signal would end the process.

        Args:
            call_soon: Runs a callback on the event loop; may be called at any
                moment in the thread of the loop.
            callbacks: Called after a signal, by its number.
        """
        self._callbacks = callbacks
        self._call_soon = call_soon

    def close(self) -> None:
        """Ignore signals after a stop; otherwise restore their handlers."""
        for number, replaced in self._replaced.items():
            signal.signal(
                number, signal.SIG_IGN if self._is_stopping else replaced
            )

    def _handle(self, number: int, _frame: object) -> None:
        is_stop = number in _STOP
        if self._call_soon:
            self._is_stopping = self._is_stopping or is_stop
            self._call_soon(self._callbacks[number])
        elif is_stop:
            # An exception could be lost in code that a library runs then.
            os._exit(0)
