"""Distinguishes a stalled watch from one that has no changes."""

from typing import final

import attrs

from catkindrift.clock import Clock

# A pending watch is stalled if it lags behind peers for longer than this and
# has received no chunk of a response. Doubled after each stall: a busy link
# may need longer to deliver its first chunk than it should take to detect a
# dead connection.
_LAG_LIMIT_MS = 250
_MAX_LAG_LIMIT_MS = 2000
# Chunks of a response follow each other within this time on a slow link.
_RECEIVING_MS = 300
# The zone watcher delays its next poll by at most 0.84 s after changes that it
# has served, while other VMs may receive more. After that, the shorter limit
# applies.
_ZONE_QUIET_MS = 900
_ZONE_LAG_LIMIT_MS = 1100


@final
@attrs.define(eq=False, repr=False)
class StalledWatchDetector:
    """Compares this VM's revision of a kind with those of its peers.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    peer_revision: int = attrs.field(init=False, default=0)
    _behind_since_ms: int | None = attrs.field(init=False, default=None)
    _limit_ms: int = attrs.field(init=False, default=_LAG_LIMIT_MS)
    _last_chunk_ms: int = attrs.field(init=False, default=-_RECEIVING_MS)

    @property
    def is_receiving(self) -> bool:
        """Whether a chunk of a response has arrived lately."""
        return self._clock.now_ms() - self._last_chunk_ms < _RECEIVING_MS

    def is_stalled(
        self,
        peer_revision: int,
        own_revision: int,
        *,
        uses_zone_watcher: bool,
    ) -> bool:
        """Return whether the pending watch has lagged behind for too long.

        Args:
            peer_revision: Newest revision of a peer; 0 to look again at what
                peers have told.
            own_revision: Newest revision of this VM.
            uses_zone_watcher: Whether the zone watcher is polled instead of
                the store.
        """
        now_ms = self._clock.now_ms()
        self.peer_revision = max(self.peer_revision, peer_revision)
        if self.peer_revision <= own_revision:
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
            return False
        limit_ms = (
            self._zone_limit_ms() if uses_zone_watcher else self._limit_ms
        )
        if now_ms - self._behind_since_ms <= limit_ms:
            return False
        self._behind_since_ms = now_ms
        if not uses_zone_watcher:
            self._limit_ms = min(self._limit_ms * 2, _MAX_LAG_LIMIT_MS)
        return True

    def clear_lag(self) -> None:
        """Restart the measurement of lag; no watch is pending now."""
        self._behind_since_ms = None

    def record_chunk(self) -> None:
        """Record that a response is arriving."""
        self._last_chunk_ms = self._clock.now_ms()
        self._behind_since_ms = self._last_chunk_ms

    def record_response(self) -> None:
        """Record a complete response of the store; resets the lag limit."""
        self._limit_ms = _LAG_LIMIT_MS

    def _zone_limit_ms(self) -> int:
        quiet_ms = self._clock.now_ms() - self._last_chunk_ms
        return (
            _LAG_LIMIT_MS if quiet_ms > _ZONE_QUIET_MS else _ZONE_LAG_LIMIT_MS
        )
