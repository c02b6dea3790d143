"""Which crashes each heartbeat tells of."""

import itertools
from typing import final

import attrs

from catkindrift.retries import Cleared, Crash, Suspects

# Crashes in one heartbeat; each takes about 70 bytes.
_MAX_REPORTS = 8
# Of these, the newest ones, which no other VM may know yet.
_NEWEST_CRASHES = 4


@final
@attrs.define(eq=False)
class CrashReports:
    """Tells the newest crashes at once, and all others in turn.

    Crashes of quarantined requests come first among those, so that a VM that
    was away hears of them beside any number of others.

    Args:
        suspects: What this VM knows.
    """

    _suspects: Suspects
    _round: int = attrs.field(init=False, default=0)

    def next_crashes(self) -> tuple[Crash, ...]:
        """Return what the next heartbeat tells."""
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

    def newest_cleared(self) -> tuple[Cleared, ...]:
        """Return the newest answers to suspects."""
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
