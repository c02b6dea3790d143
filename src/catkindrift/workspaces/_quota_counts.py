"""Requests of one workspace at this entry VM."""

from collections import deque
from typing import final

import attrs

from catkindrift.workspaces._quota_messages import QuotaUse


@final
@attrs.define(eq=False, repr=False)
class QuotaCounts:
    """Counts what was offered and admitted, and when.

    Args:
        admitted: Requests admitted since the start of the process.
        offered: All requests since the start of the process.
        granted: Value that `admitted` may reach by the newest reply.
        offered_ms: Time of the newest request.
        granted_until_ms: Time until which `granted` can be used.
    """

    admitted: int = 0
    offered: int = 0
    granted: int = 0
    offered_ms: int = 0
    granted_until_ms: int = 0
    _times_ms: deque[int] = attrs.field(init=False, factory=deque)

    def admit(self, now_ms: int) -> None:
        """Count one admitted request."""
        self.admitted += 1
        self._times_ms.append(now_ms)

    def give_back(self) -> None:
        """Take back the newest admission."""
        if self._times_ms:
            self.admitted -= 1
            self._times_ms.pop()

    def grant(self, granted: int, until_ms: int) -> None:
        """Take a newer grant."""
        self.granted = granted
        self.granted_until_ms = until_ms

    def left(self, now_ms: int) -> int:
        """Return the requests that the grant still permits; may be negative."""
        left = self.granted - self.admitted
        return left if now_ms < self.granted_until_ms else min(0, left)

    def recent(self, now_ms: int, window_ms: int) -> int:
        """Return the requests admitted in the last window."""
        times_ms = self._times_ms
        while times_ms and times_ms[0] <= now_ms - window_ms:
            times_ms.popleft()
        return len(times_ms)

    def room_ms(self, now_ms: int, window_ms: int) -> int:
        """Return the time until the oldest admission leaves the window."""
        if not self._times_ms:
            return window_ms
        return max(1, self._times_ms[0] + window_ms - now_ms)

    def as_use(self, workspace: int, now_ms: int, window_ms: int) -> QuotaUse:
        """Return what the owner is told."""
        return QuotaUse(
            workspace,
            self.admitted,
            self.recent(now_ms, window_ms),
            self.offered,
            self.admitted + max(0, self.left(now_ms)),
        )
