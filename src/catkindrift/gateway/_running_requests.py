"""Which requests upstreams may be running."""

from typing import final

import attrs

from catkindrift.clock import Clock

# A request whose caller has left may run on for about a service time.
_LEFT_LIFE_MS = 1000


@final
@attrs.define(eq=False)
class RunningRequests:
    """Fingerprints by the id of the upstream.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _running: dict[str, dict[int, str]] = attrs.field(init=False, factory=dict)
    _left: dict[str, dict[str, int]] = attrs.field(init=False, factory=dict)

    def started(self, upstream_id: str, token: int, fingerprint: str) -> None:
        """Note that an upstream may run a request."""
        self._running.setdefault(upstream_id, {})[token] = fingerprint

    def ended(self, upstream_id: str, token: int) -> None:
        """Note that an upstream runs a request no longer."""
        running = self._running.get(upstream_id, {})
        running.pop(token, None)
        if not running:
            self._running.pop(upstream_id, None)

    def left(self, upstream_id: str, fingerprint: str) -> None:
        """Note that nobody waits for a request that may run on."""
        left = self._left.setdefault(upstream_id, {})
        left.pop(fingerprint, None)
        left[fingerprint] = self._clock.now_ms()
        self._drop_old(left)

    def running_at(self, upstream_id: str) -> set[str]:
        """Return what an upstream may be running."""
        running = self._running.get(upstream_id, {}).values()
        return {*running, *self.left_at(upstream_id)}

    def left_at(self, upstream_id: str) -> set[str]:
        """Return the requests whose callers have lately left."""
        left = self._left.get(upstream_id, {})
        self._drop_old(left)
        return set(left)

    def forget_all_but(self, known_ids: frozenset[str]) -> None:
        """Forget what ran at upstreams that are gone."""
        for gone in self._left.keys() - known_ids:
            self._left.pop(gone)

    def _drop_old(self, left: dict[str, int]) -> None:
        oldest_ms = self._clock.now_ms() - _LEFT_LIFE_MS
        for fingerprint, left_ms in tuple(left.items()):
            if left_ms >= oldest_ms:
                break
            left.pop(fingerprint)
