"""Selection of the requests that a shift moves to another region."""

from typing import final

import attrs

from catkindrift.core._invariants import Invariant
from catkindrift.core._state import CoreState
from catkindrift.domain import Shift
from catkindrift.limits import WINDOW_MS, SlidingWindow

_PERCENT = 100
# How long a share of a cap may be used after the platform confirmed the
# configuration that contains it.
SHARE_TTL_MS = 10_000


@final
@attrs.define(eq=False, repr=False)
class ShiftGate:
    """Limits moved requests to this VM's shares of the shifts' caps.

    A share expires by this VM's own clock when the configuration has not
    been confirmed for `SHARE_TTL_MS`. A share is given to another VM only
    after `share_release_wait_ms`, which is longer.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    _windows: dict[str, SlidingWindow] = attrs.field(init=False, factory=dict)

    def refresh(self) -> None:
        """Add windows of new shifts and drop those of ended ones."""
        shifts = self._state.active_config.configuration.shifts
        names = {shift.name for shift in shifts}
        for ended in set(self._windows) - names:
            self._windows.pop(ended)
        for name in names - set(self._windows):
            self._windows[name] = SlidingWindow(self._state.clock)

    def select_shift(self, service: str) -> Shift | None:
        """Return the shift that should move the next request, or None."""
        region = self._state.identity.region
        for shift in self._state.active_config.shifts_from(region, service):
            if self.usable_share(shift) and self._is_sampled(shift):
                return shift
        return None

    def usable_share(self, shift: Shift) -> int:
        """Return how many requests per second this VM may move now."""
        confirmed_ms = self._state.confirmed_ms
        if confirmed_ms is None:
            return 0
        if self._state.clock.now_ms() - confirmed_ms >= SHARE_TTL_MS:
            return 0
        return shift.share_of(self._state.identity.name)

    def try_admit(self, shift: Shift) -> bool:
        """Count one moved request if this VM's share allows it.

        Returns:
            Whether the request may be moved.
        """
        window = self._windows.get(shift.name)
        if window is None:
            return False
        share = self.usable_share(shift)
        if not window.try_admit(share):
            return False
        self._state.moved_counts[shift.name] += 1
        self._state.invariants.check(
            Invariant.SHIFT_WITHIN_CAP,
            holds=window.admitted <= min(share, shift.cap_per_second),
        )
        return True

    def _is_sampled(self, shift: Shift) -> bool:
        return self._state.rng.uniform(0, _PERCENT) < shift.percent


def share_release_wait_ms(ttl_ms: int = SHARE_TTL_MS) -> int:
    """Return how long to wait before another VM may get a share.

    The old holder stops after `ttl_ms` by its own clock, which may run up to
    1% slow. After that, its last moved requests must leave the rate window.

    Args:
        ttl_ms: Lifetime of a share without confirmation.
    """
    return ttl_ms + ttl_ms // 100 + WINDOW_MS + 1
