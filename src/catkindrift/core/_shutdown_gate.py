"""Admission of requests while this process is stopping."""

import math
from typing import final

import attrs

from catkindrift.core._effects import LimitRequests
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._state import CoreState
from catkindrift.shutdown import Accepted


@final
@attrs.define(eq=False, repr=False)
class ShutdownGate:
    """Refuses requests that might not end before this process does.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState

    def may_send(self, pending: PendingRequest) -> bool:
        """Return whether a request may be sent now, and limit its time.

        Args:
            pending: The request, of which an earlier attempt may have failed.
        """
        if not self._state.is_stopping:
            return True
        decision = self._state.shutdown.decide(
            # Waiting requests are refused while callers can go elsewhere.
            self._state.clock.now_ms(),
            pending.deadline_ms,
            self._longest_ms(pending.service.name),
        )
        if isinstance(decision, Accepted):
            pending.due_ms = min(pending.due_ms, decision.due_ms)
            return True
        return False

    def begin(self) -> None:
        """Begin the shutdown; all requests are due at its end at the latest."""
        bounds = self._state.bounds
        shutdown = self._state.shutdown
        shutdown.begin(bounds.stop_timeout_ms, bounds.lookup_lifetime_ms)
        for pending in self._state.pending.values():
            pending.due_ms = min(pending.due_ms, shutdown.ends_ms)
        self._state.emit(LimitRequests(shutdown.ends_ms))

    def finish(self) -> None:
        """Refuse all further requests."""
        # Without a graceful stop before, no time is left.
        self._state.shutdown.begin(0, 0)
        self._state.shutdown.finish()

    def reason(
        self, pending: PendingRequest, reason: RefusalReason
    ) -> RefusalReason:
        """Return why a request is refused.

        Args:
            pending: The request.
            reason: Why, if it is not for the shutdown.
        """
        is_for_shutdown = self._state.is_stopping and (
            pending.due_ms < pending.deadline_ms or not self.may_send(pending)
        )
        if is_for_shutdown and pending.cannot_have_run:
            return RefusalReason.STOPPING
        return reason

    def _longest_ms(self, service: str) -> int | None:
        """Return the longest duration to expect of a request.

        Without recent requests it comes from what is known of the upstreams.
        """
        longest_ms = self._state.durations.longest_ms(service)
        if longest_ms is not None:
            return longest_ms
        upstreams = self._state.upstreams.of_service(service)
        latencies = (math.ceil(each.latency_ms) for each in upstreams)
        return max(latencies, default=None)
