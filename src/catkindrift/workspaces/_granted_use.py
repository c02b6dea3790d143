"""What the owner of the quotas knows of the use of one workspace."""

from collections import deque
from typing import final

import attrs

from catkindrift.workspaces._quota_messages import QuotaUse

_MILLISECONDS_PER_SECOND = 1000
# The rate of a VM is measured over this time, so that a jump shows soon.
_RATE_MS = 1000


@final
@attrs.define(eq=False, repr=False)
class _Reporter:
    admitted: int
    offered: int
    promised: int
    heard_ms: int
    per_s: float = 0
    rate_ms: int = 0
    rate_offered: int = 0

    @property
    def held(self) -> int:
        """Promised requests that may still be admitted."""
        return max(0, self.promised - self.admitted)

    def update_rate(self, offered: int, now_ms: int) -> float:
        """Return the requests per second since the rate was last taken."""
        passed_ms = now_ms - self.rate_ms
        if passed_ms >= _RATE_MS:
            came = max(0, offered - self.rate_offered)
            self.per_s = came * _MILLISECONDS_PER_SECOND / passed_ms
            self.rate_ms = now_ms
            self.rate_offered = offered
        return self.per_s


@final
@attrs.define(eq=False, repr=False)
class GrantedUse:
    """Counts admitted and promised requests of one workspace.

    What a report tells counts from its arrival, which is after the admission:
    so it counts too long rather than too short.

    Args:
        window_ms: Length of the window.
        lease_ms: Time for which a promise can be used.
    """

    _window_ms: int
    _lease_ms: int
    _reporters: dict[str, _Reporter] = attrs.field(init=False, factory=dict)
    _used: deque[tuple[int, int]] = attrs.field(init=False, factory=deque)
    _used_total: int = attrs.field(init=False, default=0)
    _offered: deque[tuple[int, int]] = attrs.field(init=False, factory=deque)
    _offered_total: int = attrs.field(init=False, default=0)

    def record(self, process: str, use: QuotaUse, now_ms: int) -> float:
        """Take the use by one process and return its requests per second."""
        known = self._reporters.get(process)
        if known is None:
            known = self._start(process, use, now_ms)
        else:
            self._count(use.admitted - known.admitted, now_ms)
            self._count_offered(use.offered - known.offered, now_ms)
        known.admitted = max(known.admitted, use.admitted)
        known.offered = use.offered
        known.promised = max(known.promised, use.granted)
        known.heard_ms = now_ms
        return known.update_rate(use.offered, now_ms)

    def promise(self, process: str, use: QuotaUse, granted: int) -> None:
        """Record what a process may admit, by its last reply or by the next."""
        self._reporters[process].promised = max(use.granted, granted)

    def held(self, process: str) -> int:
        """Return what a process was promised and has not yet admitted."""
        return self._reporters[process].held

    def admitted(self, now_ms: int) -> int:
        """Return the requests of the window that are known to be admitted."""
        self._expire(now_ms)
        return self._used_total

    def all_held(self) -> int:
        """Return the requests that are promised and not known as admitted."""
        return sum(each.held for each in self._reporters.values())

    def offered_per_s(self, now_ms: int) -> float:
        """Return the requests per second over all VMs, in the window."""
        self._expire(now_ms)
        window_s = self._window_ms / _MILLISECONDS_PER_SECOND
        return self._offered_total / window_s

    def room_ms(self, now_ms: int) -> int:
        """Return the time until the oldest use leaves the window."""
        if not self._used:
            return self._lease_ms
        oldest_ms, _ = self._used[0]
        return max(1, oldest_ms + self._window_ms - now_ms)

    def _start(self, process: str, use: QuotaUse, now_ms: int) -> _Reporter:
        """Begin to count the requests of a process."""
        self._count(use.recent, now_ms)
        self._count_offered(use.recent, now_ms)
        known = _Reporter(use.admitted, use.offered, use.granted, now_ms)
        known.rate_ms = now_ms
        known.rate_offered = use.offered
        self._reporters[process] = known
        return known

    def _count(self, admitted: int, now_ms: int) -> None:
        if admitted > 0:
            self._used.append((now_ms, admitted))
            self._used_total += admitted

    def _count_offered(self, offered: int, now_ms: int) -> None:
        if offered > 0:
            self._offered.append((now_ms, offered))
            self._offered_total += offered

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._used and self._used[0][0] <= oldest_ms:
            self._used_total -= self._used.popleft()[1]
        while self._offered and self._offered[0][0] <= oldest_ms:
            self._offered_total -= self._offered.popleft()[1]
        silent_ms = oldest_ms - self._lease_ms
        silent = [
            process
            for process, each in self._reporters.items()
            if each.heard_ms <= silent_ms
        ]
        for process in silent:
            self._reporters.pop(process)
