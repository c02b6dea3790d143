"""Tracking of the requests that upstreams may be running."""

from typing import final

import attrs

from catkindrift.clock import Clock

# After its caller disconnects, a request may run on for about a service time.
_ABANDONED_LIFETIME_MS = 1000


@final
@attrs.define(eq=False)
class RunningRequests:
    """Tracks request fingerprints by upstream.

    A request is assigned, then sent, then removed. One that is assigned but
    still waits for a connection cannot have crashed the upstream, but counts
    for isolation, since it will soon run there. One that is abandoned may
    still run at the upstream.

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
        """Record that a request is about to be sent to an upstream.

        Args:
            upstream_id: Id of the upstream.
            token: Unique number of the attempt.
            fingerprint: Fingerprint of the request.
        """
        self._assigned.setdefault(upstream_id, {})[token] = fingerprint

    def mark_sent(self, token: int) -> None:
        """Record that the upstream may run the request from now on."""
        self._sent.add(token)

    def remove(self, upstream_id: str, token: int) -> None:
        """Drop an attempt that has ended."""
        self._sent.discard(token)
        assigned = self._assigned.get(upstream_id, {})
        assigned.pop(token, None)
        if not assigned:
            self._assigned.pop(upstream_id, None)

    def mark_abandoned(self, upstream_id: str, fingerprint: str) -> None:
        """Record that a request was abandoned, but may still run there."""
        abandoned = self._abandoned.setdefault(upstream_id, {})
        abandoned.pop(fingerprint, None)
        abandoned[fingerprint] = self._clock.now_ms()
        self._drop_expired(abandoned)

    def running_at(self, upstream_id: str) -> set[str]:
        """Return the fingerprints of requests that may run at an upstream."""
        assigned = self._assigned.get(upstream_id, {})
        running = (assigned[token] for token in assigned.keys() & self._sent)
        return {*running, *self.abandoned_at(upstream_id)}

    def is_assigned(self, fingerprint: str) -> bool:
        """Return whether a request is assigned to any upstream."""
        return any(
            fingerprint in assigned.values()
            for assigned in self._assigned.values()
        )

    def busy_upstreams(self) -> frozenset[str]:
        """Return the ids of upstreams with assigned or abandoned requests."""
        return frozenset((*self._assigned, *self._abandoned))

    def assigned_at(self, upstream_id: str) -> set[str]:
        """Return assigned and abandoned fingerprints of an upstream."""
        assigned = self._assigned.get(upstream_id, {}).values()
        return {*assigned, *self.abandoned_at(upstream_id)}

    def abandoned_at(self, upstream_id: str) -> set[str]:
        """Return the recently abandoned fingerprints of an upstream."""
        abandoned = self._abandoned.get(upstream_id, {})
        self._drop_expired(abandoned)
        return set(abandoned)

    def retain_upstreams(self, known_ids: frozenset[str]) -> None:
        """Drop abandoned requests of upstreams that are no longer listed."""
        for gone in self._abandoned.keys() - known_ids:
            self._abandoned.pop(gone)

    def _drop_expired(self, abandoned: dict[str, int]) -> None:
        oldest_ms = self._clock.now_ms() - _ABANDONED_LIFETIME_MS
        for fingerprint, abandoned_ms in tuple(abandoned.items()):
            if abandoned_ms >= oldest_ms:
                break
            abandoned.pop(fingerprint)
