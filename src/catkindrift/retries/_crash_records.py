"""Crashes by request and upstream."""

import itertools
from collections.abc import Iterator
from typing import Final, final

import attrs

# Crashes under one fingerprint after which it must not run again.
CRASHES_TO_QUARANTINE: Final = 2
_MOST_KEPT = 10_000
# Reports of one upstream that lie closer together are one crash.
_SAME_CRASH_MS = 5000


@final
@attrs.define
class Strike:
    """Crashes of one upstream under one fingerprint.

    Args:
        first_ms: When it was first seen.
        last_ms: When it was last seen.
        is_confirmed: Whether the upstream is known to have ended.
        can_crash_again: Whether distant reports mean two crashes.
    """

    first_ms: int
    last_ms: int
    is_confirmed: bool
    can_crash_again: bool

    @property
    def seen_ms(self) -> tuple[int, ...]:
        """Return the times of one crash, or of two if it crashed again."""
        span_ms = self.last_ms - self.first_ms
        if self.can_crash_again and span_ms > _SAME_CRASH_MS:
            return (self.first_ms, self.last_ms)
        return (self.first_ms,)


@final
@attrs.define
class Strikes:
    """Strikes by fingerprint and upstream, up to a limit.

    Args:
        can_crash_again: Whether an upstream keeps its name when it starts
            again, so that one name may crash twice.
    """

    _can_crash_again: bool
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
        """Return the crashes, or zero if others explain each of them."""
        own = self._by_request.get(fingerprint, {})
        if all(self._is_explained(own, upstream) for upstream in own):
            return 0
        return _crashes(own)

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
            Strike(seen_ms, seen_ms, is_confirmed, self._can_crash_again),
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

    def _is_explained(self, own: dict[str, Strike], upstream: str) -> bool:
        """Return whether another request that crashes upstreams ran there.

        One whose crashes are all among the own ones explains nothing, or two
        requests with the same crashes would explain each other.
        """
        return any(
            upstream in strikes
            and _crashes(strikes) >= CRASHES_TO_QUARANTINE
            and not strikes.keys() <= own.keys()
            for strikes in self._by_request.values()
        )

    def _make_room(self) -> None:
        """Forget the oldest fingerprint, quarantined ones last."""
        if len(self._by_request) < _MOST_KEPT:
            return
        oldest = next(iter(self._by_request))
        others = itertools.filterfalse(self.are_enough, self._by_request)
        self.forget(next(others, oldest))


def _crashes(strikes: dict[str, Strike]) -> int:
    return sum(len(strike.seen_ms) for strike in strikes.values())


def _confirmed_times(strikes: dict[str, Strike]) -> list[tuple[str, int]]:
    """Return upstream and time of each confirmed crash."""
    return [
        (upstream, seen_ms)
        for upstream, strike in strikes.items()
        if strike.is_confirmed
        for seen_ms in strike.seen_ms
    ]
