"""Crashes by request and upstream."""

import itertools
import math
from collections.abc import Iterator
from typing import Final, final

import attrs

# Crashes under one fingerprint after which it must not run again.
CRASHES_TO_QUARANTINE: Final = 2
_MOST_KEPT = 10_000
# Reports of one upstream that lie closer together are one crash.
_SAME_CRASH_MS = 5000
# Ages that are told by other VMs differ by less than this.
_KNOWN_BEFORE_MS = 1000


@final
@attrs.define
class Strike:
    """Crashes of one upstream under one fingerprint.

    Args:
        first_ms: When it was first seen.
        last_ms: When it was last seen.
        is_confirmed: Whether the upstream is known to have ended.
    """

    first_ms: int
    last_ms: int
    is_confirmed: bool

    @property
    def seen_ms(self) -> tuple[int, ...]:
        """Return the times of one crash, or two if it crashed again later."""
        if self.last_ms - self.first_ms > _SAME_CRASH_MS:
            return (self.first_ms, self.last_ms)
        return (self.first_ms,)


@final
@attrs.define
class Strikes:
    """Strikes by fingerprint and upstream, up to a limit."""

    _by_request: dict[str, dict[str, Strike]] = attrs.field(
        init=False,
        factory=dict,
    )

    def has(self, fingerprint: str) -> bool:
        """Return whether any crash is known for a fingerprint."""
        return fingerprint in self._by_request

    def are_enough(self, fingerprint: str) -> bool:
        """Return whether there are enough for a quarantine."""
        return self.counted(fingerprint) >= CRASHES_TO_QUARANTINE

    def counted(self, fingerprint: str) -> int:
        """Return the crashes that no other fingerprint explains."""
        own = self._by_request.get(fingerprint, {})
        if self._is_part_of_another(own):
            return 0
        since_ms = _enough_ms(own)
        return sum(
            len(strike.seen_ms)
            for upstream, strike in own.items()
            if not self._is_explained(fingerprint, upstream, since_ms)
        )

    def last_ms(self, fingerprint: str) -> int:
        """Return when the newest crash was seen."""
        strikes = self._by_request[fingerprint].values()
        return max(strike.last_ms for strike in strikes)

    def find(self, fingerprint: str, upstream: str) -> Strike | None:
        """Return the strike of an upstream, if there is one."""
        return self._by_request.get(fingerprint, {}).get(upstream)

    def at(self, upstream: str) -> list[tuple[str, Strike]]:
        """Return fingerprint and strike of all requests at an upstream."""
        return [
            (fingerprint, strikes[upstream])
            for fingerprint, strikes in self._by_request.items()
            if upstream in strikes
        ]

    def confirmed(self) -> Iterator[tuple[str, str, int]]:
        """Yield fingerprint, upstream and time of each confirmed crash."""
        for fingerprint, strikes in self._by_request.items():
            for upstream, seen_ms in _confirmed_times(strikes):
                yield fingerprint, upstream, seen_ms

    def record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        """Add a crash, or one more report of it."""
        self._make_room()
        strikes = self._by_request.setdefault(fingerprint, {})
        strike = strikes.setdefault(
            upstream,
            Strike(seen_ms, seen_ms, is_confirmed),
        )
        strike.first_ms = min(strike.first_ms, seen_ms)
        strike.last_ms = max(strike.last_ms, seen_ms)
        strike.is_confirmed = strike.is_confirmed or is_confirmed

    def drop(self, fingerprint: str, upstream: str) -> None:
        """Remove the strike of one upstream."""
        strikes = self._by_request.get(fingerprint, {})
        strikes.pop(upstream, None)
        if not strikes:
            self._by_request.pop(fingerprint, None)

    def forget(self, fingerprint: str) -> None:
        """Remove all strikes of a fingerprint."""
        self._by_request.pop(fingerprint, None)

    def forget_before(self, oldest_ms: int) -> None:
        """Remove fingerprints whose newest crash is older."""
        for fingerprint in tuple(self._by_request):
            if self.last_ms(fingerprint) < oldest_ms:
                self.forget(fingerprint)

    def _is_part_of_another(self, own: dict[str, Strike]) -> bool:
        """Return whether another fingerprint has these crashes and more."""
        return any(
            own.keys() < strikes.keys() for strikes in self._by_request.values()
        )

    def _is_explained(
        self,
        fingerprint: str,
        upstream: str,
        since_ms: float,
    ) -> bool:
        """Return whether a request that was known to crash upstreams ran there.

        Only one that was known well before counts, so that two requests never
        explain each other's crashes.
        """
        return any(
            upstream in strikes
            and _enough_ms(strikes) + _KNOWN_BEFORE_MS < since_ms
            and self.are_enough(other)
            for other, strikes in self._by_request.items()
            if other != fingerprint
        )

    def _make_room(self) -> None:
        """Forget the oldest fingerprint, quarantined ones last."""
        if len(self._by_request) < _MOST_KEPT:
            return
        oldest = next(iter(self._by_request))
        others = itertools.filterfalse(self.are_enough, self._by_request)
        self.forget(next(others, oldest))


def _enough_ms(strikes: dict[str, Strike]) -> float:
    """Return when crashes first were enough, or infinity."""
    seen_ms = [each for strike in strikes.values() for each in strike.seen_ms]
    if len(seen_ms) < CRASHES_TO_QUARANTINE:
        return math.inf
    return sorted(seen_ms)[CRASHES_TO_QUARANTINE - 1]


def _confirmed_times(strikes: dict[str, Strike]) -> list[tuple[str, int]]:
    """Return upstream and time of each confirmed crash."""
    return [
        (upstream, seen_ms)
        for upstream, strike in strikes.items()
        if strike.is_confirmed
        for seen_ms in strike.seen_ms
    ]
