"""Tracking of the requests that upstreams may be running."""

from typing import final

import attrs

from catkindrift.blame import without_caller
from catkindrift.clock import Clock

# After its caller disconnects, a request may run on for about a service time.
_ABANDONED_LIFETIME_MS = 1000


@final
@attrs.define(eq=False, repr=False)
class RunningRequests:
    """Tracks request fingerprints by incarnation of an upstream.

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

    def assign(self, incarnation: str, token: int, fingerprint: str) -> None:
        """Record that a request is about to be sent to an upstream.

        Args:
            incarnation: Incarnation of the upstream.
            token: Unique number of the attempt.
            fingerprint: Fingerprint of the request.
        """
        self._assigned.setdefault(incarnation, {})[token] = fingerprint

    def mark_sent(self, token: int) -> None:
        """Record that the upstream may run the request from now on."""
        self._sent.add(token)

    def remove(self, incarnation: str, token: int) -> None:
        """Drop an attempt that has ended."""
        self._sent.discard(token)
        assigned = self._assigned.get(incarnation, {})
        assigned.pop(token, None)
        if not assigned:
            self._assigned.pop(incarnation, None)

    def mark_abandoned(self, incarnation: str, fingerprint: str) -> None:
        """Record that a request was abandoned, but may still run there."""
        abandoned = self._abandoned.setdefault(incarnation, {})
        abandoned.pop(fingerprint, None)
        abandoned[fingerprint] = self._clock.now_ms()
        self._drop_expired(abandoned)

    def running_at(self, incarnation: str) -> set[str]:
        """Return the fingerprints of requests that may run at an upstream."""
        assigned = self._assigned.get(incarnation, {})
        running = (assigned[token] for token in assigned.keys() & self._sent)
        return {*running, *self.abandoned_at(incarnation)}

    def is_assigned(self, fingerprint: str) -> bool:
        """Return whether a request of any caller is assigned to an upstream."""
        own = without_caller(fingerprint)
        return any(
            without_caller(other) == own
            for assigned in self._assigned.values()
            for other in assigned.values()
        )

    def busy_upstreams(self) -> frozenset[str]:
        """Return the incarnations with assigned or abandoned requests."""
        return frozenset((*self._assigned, *self._abandoned))

    def assigned_at(self, incarnation: str) -> set[str]:
        """Return assigned and abandoned fingerprints of an upstream."""
        assigned = self._assigned.get(incarnation, {}).values()
        return {*assigned, *self.abandoned_at(incarnation)}

    def abandoned_at(self, incarnation: str) -> set[str]:
        """Return the recently abandoned fingerprints of an upstream."""
        abandoned = self._abandoned.get(incarnation, {})
        self._drop_expired(abandoned)
        return set(abandoned)

    def retain_upstreams(self, incarnations: frozenset[str]) -> None:
        """Drop abandoned requests of incarnations that are not listed."""
        for gone in self._abandoned.keys() - incarnations:
            self._abandoned.pop(gone)

    def _drop_expired(self, abandoned: dict[str, int]) -> None:
        oldest_ms = self._clock.now_ms() - _ABANDONED_LIFETIME_MS
        for fingerprint, abandoned_ms in tuple(abandoned.items()):
            if abandoned_ms >= oldest_ms:
                break
            abandoned.pop(fingerprint)
