"""Selection of the crash reports for each heartbeat."""

import itertools
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.blame import (
    Cleared,
    Crash,
    Suspects,
    Verdict,
)

# Limit on crashes in one heartbeat; each takes about 70 bytes.
_MAX_REPORTS = 8
# Of these, the newest crashes, which other VMs may not know yet.
_NEWEST_CRASHES = 4
# Limit on crashes in a record in the store.
_MAX_STORED_REPORTS = 256


@final
@attrs.define(eq=False, repr=False)
class CrashReports:
    """Selects the newest crashes for every heartbeat, all others in rotation.

    Crashes of quarantined requests get most of the rotating slots, so that a
    VM that was unreachable learns of them soon, however many others there are.

    Args:
        suspects: The crashes that this VM knows.
    """

    _suspects: Suspects
    _own: set[tuple[str, str]] = attrs.field(init=False, factory=set)
    _round: int = attrs.field(init=False, default=0)

    @property
    def count(self) -> int:
        """Number of confirmed crashes that this VM knows."""
        return len(self._suspects.crashes())

    def next_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes for the next heartbeat and move the rotation."""
        by_age = sorted(self._suspects.crashes(), key=_age_ms)
        if len(by_age) <= _MAX_REPORTS:
            return tuple(by_age)
        rest = sorted(by_age[_NEWEST_CRASHES:], key=_crash_key)
        quarantined = list(filter(self._is_quarantined, rest))
        others = list(itertools.filterfalse(self._is_quarantined, rest))
        reported = by_age[:_NEWEST_CRASHES]
        reported += self._rotated_slice(
            quarantined, _MAX_REPORTS - len(reported) - 1
        )
        reported += self._rotated_slice(others, _MAX_REPORTS - len(reported))
        self._round += 1
        return tuple(reported)

    def confirm(self, fingerprints: Iterable[str], incarnation: str) -> None:
        """Confirm a crash that this VM has seen, so that it is reported.

        Args:
            fingerprints: Requests that are blamed for it.
            incarnation: Incarnation of the upstream.
        """
        blamed = tuple(fingerprints)
        self._suspects.confirm(blamed, incarnation)
        self.record_own((each, incarnation) for each in blamed)

    def record_own(self, crashes: Iterable[tuple[str, str]]) -> None:
        """Add crashes that this VM has seen, in this or an earlier process.

        Args:
            crashes: Fingerprint and incarnation of each.
        """
        self._own.update(crashes)

    def stored_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes for this VM's record in the store.

        Only those that it has seen itself, since each VM writes its own, and
        those of quarantined requests.
        """
        known = {_crash_key(each): each for each in self._suspects.crashes()}
        self._own.intersection_update(known)
        stored = [
            crash
            for key, crash in known.items()
            if key in self._own or self._is_quarantined(crash)
        ]
        stored.sort(key=_age_ms)
        return tuple(stored[:_MAX_STORED_REPORTS])

    def verdict(self, fingerprint: str) -> Verdict:
        """Return what this VM knows against a request."""
        return self._suspects.verdict(fingerprint)

    def newest_cleared(self) -> tuple[Cleared, ...]:
        """Return the suspects that were cleared last."""
        by_age = sorted(self._suspects.cleared(), key=_age_ms)
        return tuple(by_age[:_MAX_REPORTS])

    def _is_quarantined(self, crash: Crash) -> bool:
        return self._suspects.is_quarantined(crash.fingerprint)

    def _rotated_slice(self, crashes: list[Crash], count: int) -> list[Crash]:
        if len(crashes) <= count:
            return crashes
        start = self._round * count % len(crashes)
        return (crashes + crashes)[start : start + count]


def _age_ms(report: Crash | Cleared) -> int:
    return report.age_ms


def _crash_key(crash: Crash) -> tuple[str, str]:
    return (crash.fingerprint, crash.upstream)
