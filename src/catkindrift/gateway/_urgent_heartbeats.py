"""Heartbeats that carry news ahead of the regular ones."""

import asyncio
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._heartbeats import Heartbeats

_MILLISECONDS_PER_SECOND = 1000
# Many changes at once must not fill the link of a small VM.
_MIN_INTERVAL_MS = 100


@final
@attrs.define(eq=False, repr=False)
class UrgentHeartbeats:
    """Sends news at once, but no more than ten times a second.

    News that arrive before the next heartbeat share it.

    Args:
        clock: Source of time.
        heartbeats: Sends the heartbeats.
    """

    _clock: Clock
    _heartbeats: Heartbeats
    _due_ms: int = attrs.field(init=False, default=0)
    _timer: asyncio.TimerHandle | None = attrs.field(init=False, default=None)
    _has_own_news: bool = attrs.field(init=False, default=False)

    def send(self) -> None:
        """Send a heartbeat to some VMs of all regions as soon as allowed."""
        self._has_own_news = True
        self.pass_on()

    def pass_on(self) -> None:
        """Send news of another VM, only to the own zone if there are many."""
        if self._timer is None:
            wait_ms = max(0, self._due_ms - self._clock.now_ms())
            self._timer = asyncio.get_running_loop().call_later(
                wait_ms / _MILLISECONDS_PER_SECOND, self._send
            )

    def _send(self) -> None:
        self._timer = None
        self._due_ms = self._clock.now_ms() + _MIN_INTERVAL_MS
        is_passed_on = not self._has_own_news
        self._has_own_news = False
        self._heartbeats.send_news(is_passed_on=is_passed_on)
