"""Tells a watch that has gone silent from one that has nothing to tell."""

from typing import final

import attrs

from catkindrift.clock import Clock

# Peers are ahead for this long, and no part of an answer has come, before a
# waiting watch counts as silent. Doubled each time: a busy link may need longer
# for its first part than a dead connection deserves.
_LAG_LIMIT_MS = 250
_MAX_LAG_LIMIT_MS = 2000
# The VM that watches for the zone pauses for 0.84 s at most after news that it
# has told, while others hear of more. Later it has no such excuse.
_ZONE_QUIET_MS = 900
_ZONE_LAG_LIMIT_MS = 1100


@final
@attrs.define(eq=False)
class StalledWatchDetector:
    """Compares what this VM knows of a kind with what peers know.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _peer_revision: int = attrs.field(init=False, default=0)
    _behind_since_ms: int | None = attrs.field(init=False, default=None)
    _limit_ms: int = attrs.field(init=False, default=_LAG_LIMIT_MS)
    _last_chunk_ms: int = attrs.field(init=False, default=0)

    def is_stalled(
        self,
        peer_revision: int,
        own_revision: int,
        *,
        uses_zone_watcher: bool,
    ) -> bool:
        """Return whether the watch that waits has missed news for too long.

        Args:
            peer_revision: What a peer knows.
            own_revision: What this VM knows.
            asks_zone: Whether another VM of the zone is asked, not the store.
        """
        now_ms = self._clock.now_ms()
        self._peer_revision = max(self._peer_revision, peer_revision)
        if self._peer_revision <= own_revision:
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
        """Note that no watch waits now, so none is silent."""
        self._behind_since_ms = None

    def record_chunk(self) -> None:
        """Note that an answer is arriving."""
        self._last_chunk_ms = self._clock.now_ms()
        self._behind_since_ms = self._last_chunk_ms

    def record_response(self) -> None:
        """Note a whole answer of the store."""
        self._limit_ms = _LAG_LIMIT_MS

    def _zone_limit_ms(self) -> int:
        quiet_ms = self._clock.now_ms() - self._last_chunk_ms
        return (
            _LAG_LIMIT_MS if quiet_ms > _ZONE_QUIET_MS else _ZONE_LAG_LIMIT_MS
        )
