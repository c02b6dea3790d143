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
# Answers to any VM that follow each other within this time show that the store
# was up. Sentinels are answered more often; an outage in which entries expire
# lasts longer.
_LONGEST_GAP_MS = 2800
# A process that stood still for this long cannot tell how old the datagrams
# are that it finds; within this time it has read them.
_STALL_MS = 1000


@final
@attrs.define(eq=False)
class StoreHealth:
    """Notes outages of the store, whichever kind is asked for.

    The first answer to any watch ends an outage: other watches may hear of
    it late, when calls from before have run into their time limits.

    A VM that is cut off from the store alone cannot tell that from an outage
    by itself. So VMs tell each other how old their newest answer is.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    outage: TimeSpan | None = attrs.field(init=False, default=None)
    _up: TimeSpan | None = attrs.field(init=False, default=None)
    _first_failed_ms: int | None = attrs.field(init=False, default=None)
    _last_failed_ms: int = attrs.field(init=False, default=0)
    _answered_ms: int = attrs.field(init=False)
    _answered_elapsed_ms: int | None = attrs.field(init=False, default=None)
    _revived_ms: int | None = attrs.field(init=False, default=None)
    _ticked_ms: int = attrs.field(init=False)
    _deaf_until_ms: int = attrs.field(init=False, default=0)
    _listeners: list[Callable[[], None]] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._answered_ms = self._clock.now_ms()
        self._ticked_ms = self._clock.elapsed_ms()

    @property
    def is_away(self) -> bool:
        """Return whether calls have failed for long, and still do."""
        if self._first_failed_ms is None:
            return False
        return self._last_failed_ms - self._first_failed_ms > _AWAY_MS

    @property
    def answer_age_ms(self) -> int | None:
        """Return the age of the newest answer to this VM, if there is one."""
        if self._answered_elapsed_ms is None:
            return None
        return self._clock.elapsed_ms() - self._answered_elapsed_ms

    def on_return(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store may answer again after failures."""
        self._listeners.append(listener)

    def tick(self) -> None:
        """Notice that the process stood still; called several times a second.

        What is known then is older than it seems.
        """
        elapsed_ms = self._clock.elapsed_ms()
        if elapsed_ms - self._ticked_ms > _STALL_MS:
            self._up = None
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
        before_ms = self._answered_ms
        self._answered_ms = self._clock.now_ms()
        self._answered_elapsed_ms = self._clock.elapsed_ms()
        self._note_up(self._answered_ms)
        if self._first_failed_ms is None:
            return False
        is_outage = self.is_away
        self._first_failed_ms = None
        logging.info('store: answers again')
        if is_outage:
            self.outage = TimeSpan(before_ms, self._returned_ms())
        self._tell()
        return is_outage

    def heard(self, answer_age_ms: int) -> None:
        """Learn how old the newest answer to a peer is."""
        self.tick()
        now_ms = self._clock.now_ms()
        if now_ms >= self._deaf_until_ms:
            self._note_up(now_ms - answer_age_ms)

    def peer_is_back(self) -> None:
        """Note that a VM is heard again: a cut that hid it has ended."""
        self._revived_ms = self._clock.now_ms()
        if self._first_failed_ms is not None:
            self._tell()

    def was_up(self, outage: TimeSpan) -> bool:
        """Return whether peers were answered all through an outage."""
        return self._up is not None and self._up.began_ms <= outage.began_ms

    def _note_up(self, at_ms: int) -> None:
        known = self._up
        if known is None or at_ms - known.ended_ms > _LONGEST_GAP_MS:
            self._up = TimeSpan(at_ms, at_ms)
        elif at_ms > known.ended_ms:
            self._up = TimeSpan(known.began_ms, at_ms)

    def _returned_ms(self) -> int:
        """Return when the store was back at the latest."""
        earliest_ms = self._answered_ms - _AWAY_MS
        if self._revived_ms is None or self._revived_ms < earliest_ms:
            return self._answered_ms
        return self._revived_ms

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
