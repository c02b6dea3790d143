"""Whether the store answers, as seen by this VM and by its peers."""

from collections.abc import Callable
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.steering import TimeSpan

# Calls fail for this long, and none is answered, before the store counts as
# having been away.
_OUTAGE_THRESHOLD_MS = 1200
# Answers to any VM that follow each other within this time show that the store
# was up. Sentinels are answered more often; an outage in which entries expire
# lasts longer.
_MAX_RESPONSE_GAP_MS = 2800
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
    _reachable_span: TimeSpan | None = attrs.field(init=False, default=None)
    _first_failed_ms: int | None = attrs.field(init=False, default=None)
    _last_failed_ms: int = attrs.field(init=False, default=0)
    _last_response_ms: int = attrs.field(init=False)
    _last_response_elapsed_ms: int | None = attrs.field(
        init=False, default=None
    )
    _peer_recovered_ms: int | None = attrs.field(init=False, default=None)
    _last_stall_check_ms: int = attrs.field(init=False)
    _ignore_peers_until_ms: int = attrs.field(init=False, default=0)
    _listeners: list[Callable[[], None]] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._last_response_ms = self._clock.now_ms()
        self._last_stall_check_ms = self._clock.elapsed_ms()

    @property
    def is_unavailable(self) -> bool:
        """Return whether calls have failed for long, and still do."""
        if self._first_failed_ms is None:
            return False
        return (
            self._last_failed_ms - self._first_failed_ms > _OUTAGE_THRESHOLD_MS
        )

    @property
    def answer_age_ms(self) -> int | None:
        """Return the age of the newest answer to this VM, if there is one."""
        if self._last_response_elapsed_ms is None:
            return None
        return self._clock.elapsed_ms() - self._last_response_elapsed_ms

    def add_recovery_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store may answer again after failures."""
        self._listeners.append(listener)

    def detect_stall(self) -> None:
        """Notice that the process stood still; called several times a second.

        What is known then is older than it seems.
        """
        elapsed_ms = self._clock.elapsed_ms()
        if elapsed_ms - self._last_stall_check_ms > _STALL_MS:
            self._reachable_span = None
            self._ignore_peers_until_ms = self._clock.now_ms() + _STALL_MS
        self._last_stall_check_ms = elapsed_ms

    def record_failure(self, reason: Exception) -> None:
        """Note a call that failed."""
        self._last_failed_ms = self._clock.now_ms()
        if self._first_failed_ms is None:
            self._first_failed_ms = self._last_failed_ms
            logging.warning('store: %s', reason)

    def record_response(self) -> bool:
        """Note an answer, and return whether it ends an outage."""
        self.detect_stall()
        before_ms = self._last_response_ms
        self._last_response_ms = self._clock.now_ms()
        self._last_response_elapsed_ms = self._clock.elapsed_ms()
        self._extend_reachable_span(self._last_response_ms)
        if self._first_failed_ms is None:
            return False
        is_outage = self.is_unavailable
        self._first_failed_ms = None
        logging.info('store: answers again')
        if is_outage:
            self.outage = TimeSpan(before_ms, self._recovered_ms())
        self._notify_listeners()
        return is_outage

    def record_peer_response(self, answer_age_ms: int) -> None:
        """Learn how old the newest answer to a peer is."""
        self.detect_stall()
        now_ms = self._clock.now_ms()
        if now_ms >= self._ignore_peers_until_ms:
            self._extend_reachable_span(now_ms - answer_age_ms)

    def record_peer_recovery(self) -> None:
        """Note that a VM is heard again: a cut that hid it has ended."""
        self._peer_recovered_ms = self._clock.now_ms()
        if self._first_failed_ms is not None:
            self._notify_listeners()

    def was_reachable_during(self, outage: TimeSpan) -> bool:
        """Return whether peers were answered all through an outage."""
        return (
            self._reachable_span is not None
            and self._reachable_span.began_ms <= outage.began_ms
        )

    def _extend_reachable_span(self, at_ms: int) -> None:
        known = self._reachable_span
        if known is None or at_ms - known.ended_ms > _MAX_RESPONSE_GAP_MS:
            self._reachable_span = TimeSpan(at_ms, at_ms)
        elif at_ms > known.ended_ms:
            self._reachable_span = TimeSpan(known.began_ms, at_ms)

    def _recovered_ms(self) -> int:
        """Return when the store was back at the latest."""
        earliest_ms = self._last_response_ms - _OUTAGE_THRESHOLD_MS
        if (
            self._peer_recovered_ms is None
            or self._peer_recovered_ms < earliest_ms
        ):
            return self._last_response_ms
        return self._peer_recovered_ms

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
