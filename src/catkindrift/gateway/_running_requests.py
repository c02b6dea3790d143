"""Which requests upstreams may be running."""

from typing import final

import attrs

from catkindrift.clock import Clock

# A request whose caller has left may run on for about a service time.
_ABANDONED_LIFETIME_MS = 1000


@final
@attrs.define(eq=False)
class RunningRequests:
    """Fingerprints by the id of the upstream.

    What was assigned to an upstream and waits for a connection cannot have
    crashed it, but soon runs beside what is there.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _assigned: dict[str, dict[int, str]] = attrs.field(init=False, factory=dict)
    _sent: set[int] = attrs.field(init=False, factory=set)
    _abandoned: dict[str, dict[str, int]] = attrs.field(
        init=False, factory=dict
    )

    def assign(self, upstream_id: str, token: int, fingerprint: str) -> None:
        """Note that an upstream is about to be sent a request."""
        self._assigned.setdefault(upstream_id, {})[token] = fingerprint

    def mark_sent(self, token: int) -> None:
        """Note that the upstream may run the request from now on."""
        self._sent.add(token)

    def remove(self, upstream_id: str, token: int) -> None:
        """Note that an upstream runs a request no longer."""
        self._sent.discard(token)
        assigned = self._assigned.get(upstream_id, {})
        assigned.pop(token, None)
        if not assigned:
            self._assigned.pop(upstream_id, None)

    def mark_abandoned(self, upstream_id: str, fingerprint: str) -> None:
        """Note that nobody waits for a request that may run on."""
        left = self._abandoned.setdefault(upstream_id, {})
        left.pop(fingerprint, None)
        left[fingerprint] = self._clock.now_ms()
        self._drop_expired(left)

    def running_at(self, upstream_id: str) -> set[str]:
        """Return what an upstream may be running."""
        assigned = self._assigned.get(upstream_id, {})
        running = (assigned[token] for token in assigned.keys() & self._sent)
        return {*running, *self.abandoned_at(upstream_id)}

    def is_assigned(self, fingerprint: str) -> bool:
        """Return whether a request runs, or soon will, at any upstream."""
        return any(
            fingerprint in assigned.values()
            for assigned in self._assigned.values()
        )

    def busy_upstreams(self) -> frozenset[str]:
        """Return the upstreams that run anything, or soon will."""
        return frozenset((*self._assigned, *self._abandoned))

    def assigned_at(self, upstream_id: str) -> set[str]:
        """Return what runs, or soon will, at an upstream."""
        assigned = self._assigned.get(upstream_id, {}).values()
        return {*assigned, *self.abandoned_at(upstream_id)}

    def abandoned_at(self, upstream_id: str) -> set[str]:
        """Return the requests whose callers have lately left."""
        left = self._abandoned.get(upstream_id, {})
        self._drop_expired(left)
        return set(left)

    def retain_upstreams(self, known_ids: frozenset[str]) -> None:
        """Forget what ran at upstreams that are gone."""
        for gone in self._abandoned.keys() - known_ids:
            self._abandoned.pop(gone)

    def _drop_expired(self, left: dict[str, int]) -> None:
        oldest_ms = self._clock.now_ms() - _ABANDONED_LIFETIME_MS
        for fingerprint, left_ms in tuple(left.items()):
            if left_ms >= oldest_ms:
                break
            left.pop(fingerprint)
