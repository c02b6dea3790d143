"""Which crashes each heartbeat tells of."""

import itertools
from typing import final

import attrs

from catkindrift.retries import Cleared, Crash, Suspects

# Crashes in one heartbeat; each takes about 70 bytes.
_MOST_TOLD = 8
# Of these, the newest ones, which no other VM may know yet.
_NEWEST = 4


@final
@attrs.define(eq=False)
class CrashNews:
    """Tells the newest crashes at once, and all others in turn.

    Crashes of quarantined requests come first among those, so that a VM that
    was away hears of them beside any number of others.

    Args:
        suspects: What this VM knows.
    """

    _suspects: Suspects
    _turn: int = attrs.field(init=False, default=0)

    def take(self) -> tuple[Crash, ...]:
        """Return what the next heartbeat tells."""
        by_age = sorted(self._suspects.crashes(), key=_age)
        if len(by_age) <= _MOST_TOLD:
            return tuple(by_age)
        rest = sorted(by_age[_NEWEST:], key=_identity)
        quarantined = list(filter(self._is_quarantined, rest))
        others = list(itertools.filterfalse(self._is_quarantined, rest))
        told = by_age[:_NEWEST]
        told += self._in_turn(quarantined, _MOST_TOLD - len(told) - 1)
        told += self._in_turn(others, _MOST_TOLD - len(told))
        self._turn += 1
        return tuple(told)

    def cleared(self) -> tuple[Cleared, ...]:
        """Return the newest answers to suspects."""
        by_age = sorted(self._suspects.cleared(), key=_age)
        return tuple(by_age[:_MOST_TOLD])

    def _is_quarantined(self, crash: Crash) -> bool:
        return self._suspects.is_quarantined(crash.fingerprint)

    def _in_turn(self, crashes: list[Crash], count: int) -> list[Crash]:
        if len(crashes) <= count:
            return crashes
        start = self._turn * count % len(crashes)
        return (crashes + crashes)[start : start + count]


def _age(report: Crash | Cleared) -> int:
    return report.age_ms


def _identity(crash: Crash) -> tuple[str, str]:
    return (crash.fingerprint, crash.upstream)
