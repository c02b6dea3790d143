"""Upstream entries that are missing from the platform's store."""

import logging
from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.steering import TimeSpan

_LOG = logging.getLogger(__name__)
# Live upstreams recreate entries that expired during a store outage within
# about two seconds of its end.
_REAPPEAR_GRACE_MS = 2000
# Another VM may report the same outage repeatedly; the reported ends differ by
# less than this.
_SAME_OUTAGE_MS = 500
# If this share of all entries is removed within the window, the store is
# assumed to have lost them. A long poll that was pending throughout an outage
# shows no other sign of it.
_MASS_REMOVAL_RATIO = 0.4
_MASS_REMOVAL_WINDOW_MS = 1000


@final
@attrs.define(eq=False, repr=False)
class MissingEntries:
    """Decides whether a missing entry was removed on purpose or lost.

    If heartbeats show that peers reached the store during the whole outage,
    only this VM was partitioned from it, and a missing entry was removed.
    Otherwise the store may have lost the entry, or the upstream was
    partitioned too; the entry is then kept for a grace period in which it can
    reappear.

    Args:
        clock: Source of time.
        health: Reachability of the store from this VM and its peers.
    """

    _clock: Clock
    _health: StoreHealth
    _removal_due_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _grace_ends_ms: int = attrs.field(init=False, default=0)
    _outage: TimeSpan | None = attrs.field(init=False, default=None)
    _is_outage_span_known: bool = attrs.field(init=False, default=True)
    _removal_times_ms: deque[int] = attrs.field(init=False, factory=deque)

    def record_outage(self, outage: TimeSpan) -> None:
        """Start the grace period for missing entries after a store outage.

        Args:
            outage: The outage. Its end is when this VM detected the recovery,
                which is never before the actual recovery. A repeated report
                of a known outage is ignored.
        """
        known = self._outage
        if known and outage.ended_ms <= known.ended_ms + _SAME_OUTAGE_MS:
            return
        self._outage = outage
        self._is_outage_span_known = True
        self._grace_ends_ms = max(
            self._grace_ends_ms, outage.ended_ms + _REAPPEAR_GRACE_MS
        )

    def record_rollback(self) -> None:
        """Start the grace period after the store has lost its last changes.

        What upstreams wrote is written again. Responses to peers can't rule
        the loss out.
        """
        self._is_outage_span_known = False
        self._grace_ends_ms = self._clock.now_ms() + _REAPPEAR_GRACE_MS

    def should_remove(self, name: str, known_count: int) -> bool:
        """Return whether to remove a missing entry now, or else schedule it.

        Args:
            name: Name of the entry.
            known_count: Number of known entries, including this one.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._grace_ends_ms:
            self._record_removal(now_ms, known_count)
        if now_ms >= self._grace_ends_ms or self._is_outage_ruled_out:
            self._removal_due_ms.pop(name, None)
            return True
        if name not in self._removal_due_ms:
            _LOG.info(
                'entry %s is missing after an outage; kept for a grace period',
                name,
            )
            self._removal_due_ms[name] = self._grace_ends_ms
        return False

    def mark_present(self, name: str) -> None:
        """Cancel the removal of an entry that the store lists again."""
        self._removal_due_ms.pop(name, None)

    def pop_expired(self) -> list[str]:
        """Return the names of entries to remove now, and stop tracking them."""
        if not self._removal_due_ms:
            return []
        now_ms = self._clock.now_ms()
        is_ruled_out = self._is_outage_ruled_out
        gone = [
            name
            for name, due_ms in self._removal_due_ms.items()
            if is_ruled_out or due_ms <= now_ms
        ]
        for name in gone:
            self._removal_due_ms.pop(name)
        if gone:
            _LOG.info(
                'removing %d missing entries; store outage ruled out: %s',
                len(gone),
                is_ruled_out,
            )
        return gone

    @property
    def _is_outage_ruled_out(self) -> bool:
        outage = self._outage
        if outage is None or not self._is_outage_span_known:
            return False
        return self._health.was_reachable_during(outage)

    def _record_removal(self, now_ms: int, known_count: int) -> None:
        self._removal_times_ms.append(now_ms)
        oldest_ms = now_ms - _MASS_REMOVAL_WINDOW_MS
        while self._removal_times_ms[0] < oldest_ms:
            self._removal_times_ms.popleft()
        count = len(self._removal_times_ms)
        if count > 1 and count > (known_count + count) * _MASS_REMOVAL_RATIO:
            # The start of this outage is unknown, so responses to peers can't
            # rule it out.
            self._is_outage_span_known = False
            self._grace_ends_ms = now_ms + _REAPPEAR_GRACE_MS
