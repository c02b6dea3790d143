"""Reachability of the store, as seen by this VM and its peers."""

import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering import TimeSpan

_LOG = logging.getLogger(__name__)
# Calls must fail for longer than this, without a response in between, to count
# as an outage.
_OUTAGE_THRESHOLD_MS = 1200
# Responses to any VM that are no further apart than this show that the store
# was up in between. Sentinels get responses more often than this; an outage
# in which entries expire lasts longer.
_MAX_RESPONSE_GAP_MS = 2800
# A process that was suspended for this long doesn't know the age of the
# datagrams in its receive buffer; it has read all of them within this time.
_STALL_MS = 1000
# Recovered peers end a backoff no oftener than this, which is its longest
# delay; among many VMs one recovers at any time.
_RETRY_INTERVAL_MS = 800


@final
@attrs.define(eq=False, repr=False)
class StoreHealth:
    """Detects outages of the store, across the watches of all kinds.

    The first response to any watch ends an outage. Other watches may notice
    the recovery late, when their pending calls have timed out.

    A VM alone can't distinguish a store outage from its own partition from
    the store. Heartbeats therefore carry the age of each VM's newest response.

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
    _retry_due_ms: int = attrs.field(init=False, default=0)
    _peer_recovered_ms: int | None = attrs.field(init=False, default=None)
    _last_stall_check_ms: int = attrs.field(init=False)
    _ignore_peers_until_ms: int = attrs.field(init=False, default=0)
    _listeners: list[Callable[[], None]] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Record the start time of the process."""
        self._last_response_ms = self._clock.now_ms()
        self._last_stall_check_ms = self._clock.elapsed_ms()

    @property
    def is_unavailable(self) -> bool:
        """Whether calls have failed for longer than the outage threshold."""
        if self._first_failed_ms is None:
            return False
        return (
            self._last_failed_ms - self._first_failed_ms > _OUTAGE_THRESHOLD_MS
        )

    @property
    def answer_age_ms(self) -> int | None:
        """Age of the newest response to this VM; None before the first one.

        It includes time for which the machine was suspended.
        """
        if self._last_response_elapsed_ms is None:
            return None
        return self._clock.elapsed_ms() - self._last_response_elapsed_ms

    @property
    def ignores_peers(self) -> bool:
        """Whether reports of peers may be outdated, after a stall."""
        return self._clock.now_ms() < self._ignore_peers_until_ms

    def add_recovery_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store may be reachable after failures."""
        self._listeners.append(listener)

    def detect_stall(self) -> None:
        """Detect that the process was suspended; call several times a second.

        After a stall, the recorded reachability is dropped and reports of
        peers are ignored for a while, because they may be outdated.
        """
        elapsed_ms = self._clock.elapsed_ms()
        if elapsed_ms - self._last_stall_check_ms > _STALL_MS:
            self._reachable_span = None
            self._ignore_peers_until_ms = self._clock.now_ms() + _STALL_MS
        self._last_stall_check_ms = elapsed_ms

    def record_failure(self, reason: Exception) -> None:
        """Record a failed call."""
        self._last_failed_ms = self._clock.now_ms()
        if self._first_failed_ms is None:
            self._first_failed_ms = self._last_failed_ms
            _LOG.warning('call to the store failed: %s', reason)

    def record_response(self) -> bool:
        """Record a response and return whether it ends an outage."""
        self.detect_stall()
        previous_response_ms = self._last_response_ms
        self._last_response_ms = self._clock.now_ms()
        self._last_response_elapsed_ms = self._clock.elapsed_ms()
        self._extend_reachable_span(self._last_response_ms)
        if self._first_failed_ms is None:
            return False
        is_outage = self.is_unavailable
        self._first_failed_ms = None
        _LOG.info('store is reachable again')
        if is_outage:
            self.outage = TimeSpan(previous_response_ms, self._recovered_ms())
        self._notify_listeners()
        return is_outage

    def record_peer_response(self, answer_age_ms: int) -> None:
        """Record the age of the newest response to a peer."""
        self.detect_stall()
        if not self.ignores_peers:
            self._extend_reachable_span(self._clock.now_ms() - answer_age_ms)

    def record_peer_recovery(self) -> None:
        """Record that a failed peer's heartbeats have resumed.

        A partition that separated it from this VM has ended, and perhaps the
        one from the store too.
        """
        self._peer_recovered_ms = self._clock.now_ms()
        is_due = self._peer_recovered_ms >= self._retry_due_ms
        if self._first_failed_ms is not None and is_due:
            self._retry_due_ms = self._peer_recovered_ms + _RETRY_INTERVAL_MS
            self._notify_listeners()

    def was_reachable_during(self, outage: TimeSpan) -> bool:
        """Return whether peers got responses throughout an outage."""
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
        """Return the latest possible time of the store's recovery.

        A peer that recovered shortly before the first response marks the end
        of the partition.
        """
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
