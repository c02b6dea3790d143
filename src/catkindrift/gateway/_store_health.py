"""Whether the store answers, as seen by this VM and by its peers."""

from collections.abc import Callable
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.steering import TimeSpan

# Calls fail for this long, and none is answered, before the store counts as
# having been away.
_AWAY_MS = 1200
# Answers that follow each other within this time show that the store was up.
# Sentinels are answered more often; entries take longer to expire.
_LONGEST_GAP_MS = 3300
# Peers that were answered so lately say that the store is up now.
_LATELY_MS = 1500
# A process that stood still for this long cannot tell how old the datagrams
# are that it finds; within this time it has read them.
_STALL_MS = 1000


@final
@attrs.define(eq=False)
class StoreHealth:
    """Notes outages of the store, whichever kind is asked for.

    The first answer to any watch ends an outage: other watches may hear of
    it late, when calls from before have run into their time limits.

    A VM that was cut off cannot tell that from an outage by itself. So all
    VMs tell each other when the store was surely up, and join what overlaps.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    outage: TimeSpan | None = attrs.field(init=False, default=None)
    up: TimeSpan | None = attrs.field(init=False, default=None)
    _first_failed_ms: int | None = attrs.field(init=False, default=None)
    _last_failed_ms: int = attrs.field(init=False, default=0)
    _answered_ms: int = attrs.field(init=False)
    _peers_up_ms: int = attrs.field(init=False)
    _ticked_ms: int = attrs.field(init=False)
    _deaf_until_ms: int = attrs.field(init=False, default=0)
    _listeners: list[Callable[[], None]] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._answered_ms = self._clock.now_ms()
        self._peers_up_ms = self._answered_ms
        self._ticked_ms = self._clock.elapsed_ms()

    @property
    def is_away(self) -> bool:
        """Return whether calls have failed for long, and still do."""
        if self._first_failed_ms is None:
            return False
        return self._last_failed_ms - self._first_failed_ms > _AWAY_MS

    @property
    def up_ages(self) -> TimeSpan | None:
        """Return when the store was surely up, as ages for other VMs."""
        self.tick()
        return self.up.mirrored(self._clock.now_ms()) if self.up else None

    def on_return(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store seems to answer again."""
        self._listeners.append(listener)

    def tick(self) -> None:
        """Notice that the process stood still; called several times a second.

        What is known then is older than it seems.
        """
        elapsed_ms = self._clock.elapsed_ms()
        if elapsed_ms - self._ticked_ms > _STALL_MS:
            self.up = None
            self._deaf_until_ms = self._clock.now_ms() + _STALL_MS
        self._ticked_ms = elapsed_ms

    def failed(self, reason: Exception) -> None:
        """Note a call that failed."""
        self._last_failed_ms = self._clock.now_ms()
        if self._first_failed_ms is None:
            self._first_failed_ms = self._last_failed_ms
            logging.warning('store: %s', reason)

    def answered(self) -> bool:
        """Note an answer, and return whether it ends an outage."""
        self.tick()
        is_outage = self.is_away
        answered_ms = self._answered_ms
        self._answered_ms = self._clock.now_ms()
        self._extend(is_outage=is_outage)
        if self._first_failed_ms is None:
            return False
        self._first_failed_ms = None
        logging.info('store: answers again')
        self._tell()
        if is_outage:
            self.outage = TimeSpan(answered_ms, self._answered_ms)
        return is_outage

    def heard(self, up_ages: TimeSpan) -> None:
        """Learn from a peer when the store was surely up."""
        self.tick()
        now_ms = self._clock.now_ms()
        if now_ms < self._deaf_until_ms:
            return
        told = up_ages.mirrored(now_ms)
        known = self.up or told
        if known.reaches(told, _AWAY_MS):
            self.up = known.joined(told)
        fresh_ms = now_ms - _LATELY_MS
        if self._peers_up_ms < fresh_ms <= told.ended_ms:
            self._tell()
        self._peers_up_ms = max(self._peers_up_ms, told.ended_ms)

    def was_up(self, span: TimeSpan) -> bool:
        """Return whether there was no outage in a span of time."""
        return self.up is not None and self.up.covers(span, _AWAY_MS)

    def _extend(self, *, is_outage: bool) -> None:
        now_ms = self._answered_ms
        known = self.up
        if (
            known is None
            or is_outage
            or now_ms - known.ended_ms > _LONGEST_GAP_MS
        ):
            self.up = TimeSpan(now_ms, now_ms)
        else:
            self.up = TimeSpan(known.began_ms, now_ms)

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
