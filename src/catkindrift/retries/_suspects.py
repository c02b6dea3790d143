"""Recognition of requests that crash upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock

_CRASHES_TO_QUARANTINE = 2
_KEPT_MS = 600_000
_MOST_KEPT = 10_000
# Reports of one upstream that lie closer together are one crash.
_SAME_CRASH_MS = 5000


@final
@attrs.frozen
class Crash:
    """An upstream broke off while it ran a request.

    Args:
        fingerprint: Digest of the request.
        upstream: The upstream.
        age_ms: Time since the crash.
    """

    fingerprint: str
    upstream: str
    age_ms: int


@final
@attrs.frozen
class Cleared:
    """A suspected request was answered.

    Args:
        fingerprint: Digest of the request.
        age_ms: Time since the answer.
    """

    fingerprint: str
    age_ms: int


@final
@attrs.define
class _Strike:
    """Crashes of one upstream under one fingerprint."""

    first_ms: int
    last_ms: int
    is_confirmed: bool

    @property
    def crashes(self) -> int:
        """Return one, or two when the upstream crashed again later."""
        return 1 + (self.last_ms - self.first_ms > _SAME_CRASH_MS)


@final
@attrs.define
class Suspects:
    """Crashes by request fingerprint, from all entry VMs.

    Two crashes under one fingerprint put it into quarantine. A fingerprint
    with one crash is a suspect: it runs only where no other suspect runs, and
    when that upstream breaks off too, the suspect alone is blamed, not the
    requests beside it.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _strikes: dict[str, dict[str, _Strike]] = attrs.field(
        init=False,
        factory=dict,
    )
    _cleared: dict[str, int] = attrs.field(init=False, factory=dict)
    confirmed: int = attrs.field(init=False, default=0)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash is known for the fingerprint."""
        return bool(self._strikes.get(fingerprint))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        strikes = self._strikes.get(fingerprint)
        if not strikes:
            return False
        crashes = sum(strike.crashes for strike in strikes.values())
        return crashes >= _CRASHES_TO_QUARANTINE

    def crashed(
        self,
        fingerprints: Iterable[str],
        upstream: str,
    ) -> frozenset[str]:
        """Blame the requests that an upstream ran when it broke off.

        The blame counts here at once; other entry VMs hear of it when
        `confirm` is called.

        Args:
            fingerprints: All requests that ran there.
            upstream: The upstream.

        Returns:
            The blamed fingerprints.
        """
        running = frozenset(fingerprints)
        suspects = frozenset(filter(self.is_suspect, running))
        blamed = suspects or running
        now_ms = self._clock.now_ms()
        for fingerprint in blamed:
            self._record(fingerprint, upstream, now_ms, is_confirmed=False)
        return blamed

    def confirm(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Keep the blame: the upstream takes no connections any more."""
        for strike in self._strikes_at(fingerprints, upstream):
            strike.is_confirmed = True
            self.confirmed += 1

    def dismiss(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Drop the blame: only a connection broke, the upstream goes on."""
        for fingerprint in fingerprints:
            strikes = self._strikes.get(fingerprint, {})
            strike = strikes.get(upstream)
            if strike is not None and not strike.is_confirmed:
                strikes.pop(upstream)
            if not strikes:
                self._strikes.pop(fingerprint, None)

    def cleared(self, fingerprint: str) -> None:
        """Forget a suspect that was answered, unless it is quarantined."""
        if self.is_suspect(fingerprint):
            self._clear(fingerprint, self._clock.now_ms())

    def merge(
        self,
        crashes: Iterable[Crash],
        cleared: Iterable[Cleared] = (),
    ) -> None:
        """Take over what another entry VM saw."""
        now_ms = self._clock.now_ms()
        for answer in cleared:
            self._clear(answer.fingerprint, now_ms - answer.age_ms)
        for crash in crashes:
            if crash.age_ms < _KEPT_MS:
                seen_ms = now_ms - crash.age_ms
                self._record(
                    crash.fingerprint,
                    crash.upstream,
                    seen_ms,
                    is_confirmed=True,
                )

    def crashes(self) -> tuple[Crash, ...]:
        """Return the confirmed crashes, for other entry VMs."""
        self._forget_old()
        now_ms = self._clock.now_ms()
        return tuple(
            Crash(fingerprint, upstream, now_ms - seen_ms)
            for fingerprint, strikes in self._strikes.items()
            for upstream, seen_ms in _confirmed_times(strikes)
        )

    def cleared_fingerprints(self) -> tuple[Cleared, ...]:
        """Return answers to suspects, for other entry VMs."""
        now_ms = self._clock.now_ms()
        return tuple(
            Cleared(fingerprint, now_ms - answered_ms)
            for fingerprint, answered_ms in self._cleared.items()
            if now_ms - answered_ms < _KEPT_MS
        )

    def _strikes_at(
        self,
        fingerprints: Iterable[str],
        upstream: str,
    ) -> list[_Strike]:
        return [
            self._strikes[fingerprint][upstream]
            for fingerprint in fingerprints
            if upstream in self._strikes.get(fingerprint, {})
        ]

    def _clear(self, fingerprint: str, answered_ms: int) -> None:
        if self.is_quarantined(fingerprint):
            return
        last_ms = self._cleared.get(fingerprint, answered_ms)
        self._cleared[fingerprint] = max(last_ms, answered_ms)
        strikes = self._strikes.get(fingerprint, {})
        if all(strike.last_ms <= answered_ms for strike in strikes.values()):
            self._strikes.pop(fingerprint, None)

    def _record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        if seen_ms <= self._cleared.get(fingerprint, seen_ms - 1):
            return
        if len(self._strikes) >= _MOST_KEPT:
            self._strikes.pop(next(iter(self._strikes)))
        strikes = self._strikes.setdefault(fingerprint, {})
        strike = strikes.setdefault(
            upstream,
            _Strike(seen_ms, seen_ms, is_confirmed),
        )
        strike.first_ms = min(strike.first_ms, seen_ms)
        strike.last_ms = max(strike.last_ms, seen_ms)
        strike.is_confirmed = strike.is_confirmed or is_confirmed

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _KEPT_MS
        for fingerprint, strikes in list(self._strikes.items()):
            if all(each.last_ms < oldest_ms for each in strikes.values()):
                self._strikes.pop(fingerprint)
        for fingerprint, answered_ms in list(self._cleared.items()):
            if answered_ms < oldest_ms:
                self._cleared.pop(fingerprint)


def _confirmed_times(strikes: dict[str, _Strike]) -> list[tuple[str, int]]:
    """Return upstream and time of each confirmed crash."""
    return [
        (upstream, seen_ms)
        for upstream, strike in strikes.items()
        if strike.is_confirmed
        for seen_ms in sorted({strike.first_ms, strike.last_ms})
    ]
