"""Progress of a graceful shutdown."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.shutdown._decision import Accepted, Decision, Refused

# The end of the grace period is reserved for the last responses: the event
# loop of a busy machine may be this late.
_RESERVE_MS = 500
# In a short grace period less is reserved, so that requests can end in it.
_MAX_RESERVE_SHARE = 1 / 6


@final
@attrs.define(eq=False, repr=False)
class Shutdown:
    """Decides which requests a process may still send to upstreams.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _began_ms: int | None = attrs.field(init=False, default=None)
    _ends_ms: int = attrs.field(init=False, default=0)
    _killed_ms: int = attrs.field(init=False, default=0)
    _stale_until_ms: int = attrs.field(init=False, default=0)
    _is_finished: bool = attrs.field(init=False, default=False)

    @property
    def has_begun(self) -> bool:
        """Return whether the process is stopping."""
        return self._began_ms is not None

    @property
    def elapsed_ms(self) -> int:
        """Return the time since the shutdown began; 0 before."""
        if self._began_ms is None:
            return 0
        return self._clock.now_ms() - self._began_ms

    @property
    def ends_ms(self) -> int:
        """Return when all responses are due; 0 if no shutdown has begun."""
        return self._ends_ms

    @property
    def left_ms(self) -> int:
        """Return the time for which requests may run; 0 if none may."""
        if self._is_finished:
            return 0
        return max(0, self._ends_ms - self._clock.now_ms())

    @property
    def left_to_close_ms(self) -> int:
        """Return the time until the process may be killed; at least 0."""
        return max(0, self._killed_ms - self._clock.now_ms())

    @property
    def has_stale_callers(self) -> bool:
        """Return whether callers may use look-ups that name this process."""
        return self._clock.now_ms() < self._stale_until_ms

    @property
    def is_finished(self) -> bool:
        """Return whether all further requests are refused."""
        return self._is_finished

    def begin(self, grace_ms: int, lookup_lifetime_ms: int) -> None:
        """Begin the shutdown; without effect if it has begun.

        Args:
            grace_ms: Time until the process is killed.
            lookup_lifetime_ms: Time for which callers may use look-ups that
                name this process.
        """
        if self.has_begun:
            return
        now_ms = self._clock.now_ms()
        reserve_ms = min(_RESERVE_MS, round(grace_ms * _MAX_RESERVE_SHARE))
        self._began_ms = now_ms
        self._killed_ms = now_ms + grace_ms
        self._ends_ms = self._killed_ms - reserve_ms
        self._stale_until_ms = now_ms + lookup_lifetime_ms

    def finish(self) -> None:
        """Refuse all further requests."""
        self._is_finished = True

    def decide(
        self, arrived_ms: int, due_ms: int, longest_ms: int | None
    ) -> Decision:
        """Return whether a request may be sent to an upstream now.

        It may if it ends before the end of the shutdown in any case. If it
        arrived while callers may use older look-ups, it also may if the
        slowest recent request of its kind would.

        Args:
            arrived_ms: When it arrived, in the milliseconds of the clock.
            due_ms: When its response is due.
            longest_ms: Longest recent duration of such a request; None if
                there was none.
        """
        if not self.has_begun:
            return Accepted(due_ms)
        left_ms = self.left_ms
        if left_ms and due_ms <= self._ends_ms:
            return Accepted(due_ms)
        is_likely = longest_ms is not None and longest_ms <= left_ms
        if left_ms and arrived_ms < self._stale_until_ms and is_likely:
            return Accepted(self._ends_ms)
        return Refused(left_ms)
