"""Admission of requests while this process is stopping."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._refusals import Refusals
from catkindrift.gateway._shutdown_log import ShutdownLog
from catkindrift.http1 import Headers, Response
from catkindrift.shutdown import Accepted, RecentDurations, Refused, Shutdown

# Other entry VMs have room at once; within this time a caller can connect to
# one of them, and callers don't all arrive there at the same moment.
_RETRY_MS = 100.0
# About one service time.
_TOO_LATE_RETRY_MS = 150.0


@final
@attrs.define(eq=False, repr=False)
class ShutdownGate:
    """Refuses requests that might not end before this process does.

    Args:
        clock: Source of time.
        shutdown: The shutdown.
        durations: Durations of recent requests by route.
        refusals: Builds refusals.
        log: Records requests during a shutdown.
        refusal_headers: Headers of its refusals.
    """

    _clock: Clock
    _shutdown: Shutdown
    _durations: RecentDurations
    _refusals: Refusals
    _log: ShutdownLog
    _refusal_headers: Headers = attrs.field(factory=list)

    def may_send(self, pending: PendingRequest) -> bool:
        """Return whether a request may be sent now, and limit its time.

        Args:
            pending: The request, of which an earlier attempt may have failed.
        """
        if not self._shutdown.has_begun:
            return True
        decision = self._shutdown.decide(
            pending.request.arrived_ms,
            pending.deadline_ms,
            self._durations.longest_ms(pending.route.name),
        )
        match decision:
            case Accepted(due_ms):
                pending.due_ms = min(pending.due_ms, due_ms)
                return True
            case Refused():
                return False

    def refuse(self, pending: PendingRequest) -> Response:
        """Return the refusal of a request that has not run."""
        self._log.record_request(pending, 'refused')
        return self._refusals.refuse(
            pending.request, 'stopping', _RETRY_MS, self._refusal_headers
        )

    def record_taken(self, pending: PendingRequest) -> None:
        """Record that a request was taken on."""
        self._log.record_request(pending, 'taken')

    def respond_when_due(self, pending: PendingRequest) -> Response:
        """Return the response to a request without a final one in time."""
        is_shortened = pending.due_ms < pending.deadline_ms
        if is_shortened and pending.may_have_run:
            self._log.record_request(pending, 'cut')
        if pending.fallback:
            return pending.fallback
        if pending.may_have_run:
            return Response(HTTPStatus.GATEWAY_TIMEOUT)
        if is_shortened:
            return self.refuse(pending)
        return self._refusals.refuse(
            pending.request, 'too_late', _TOO_LATE_RETRY_MS
        )

    def record_duration(self, pending: PendingRequest) -> None:
        """Record how long a request has taken until its response ended.

        Refusals show nothing of the time that requests take.
        """
        if not pending.may_have_run:
            return
        took_ms = self._clock.now_ms() - pending.request.arrived_ms
        self._durations.record(pending.route.name, took_ms)
