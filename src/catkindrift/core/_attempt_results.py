"""Handling of attempt results: health, crash blame, retries."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.claims import ClaimState
from catkindrift.core._count_keys import ResponseKey
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import LogChange, ProbeUpstream, PublishRecord
from catkindrift.core._finalizer import RequestFinalizer
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending_request import PendingRequest
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._shutdown_gate import ShutdownGate
from catkindrift.core._shutdown_log import ShutdownLog
from catkindrift.core._state import CoreState
from catkindrift.retries import (
    Answered,
    AttemptResult,
    BodyTooLarge,
    CallerDisconnected,
    Interrupted,
    InterruptedReason,
    NotStarted,
    NotStartedReason,
)
from catkindrift.routing import UpstreamState

# How long an upstream counts as leaving after its last signal.
LEAVING_SIGNAL_TTL_MS = 30_000
_STATUS_CLASS_SIZE = 100
# The VM list states the start of an upstream within this time.
_RESTART_NOTICE_MS = 5000


@final
@attrs.define
class _UnconfirmedCrash:
    """A broken connection that may mean a crash.

    Args:
        incarnation: Start of the upstream whose connection broke.
        detected_ms: When it broke.
        blamed: Fingerprints of the requests in flight there.
        answered_ms: When a probe found the upstream up, which may have
            restarted; None while the probe is in flight.
    """

    incarnation: str
    detected_ms: int
    blamed: frozenset[str]
    answered_ms: int | None = None


@final
@attrs.define(eq=False, repr=False)
class AttemptResults:
    """Updates upstreams from attempt results; retries or ends requests.

    Args:
        state: State of the entry VM.
        finalizer: Sends final responses.
        dispatcher: Queues requests for a retry.
        shutdown_gate: Knows which requests end for a stop.
        shutdown_log: Records requests during a shutdown.
    """

    _state: CoreState
    _finalizer: RequestFinalizer
    _dispatcher: Dispatcher
    _shutdown_gate: ShutdownGate
    _shutdown_log: ShutdownLog
    _unconfirmed_crashes: dict[str, _UnconfirmedCrash] = attrs.field(
        init=False, factory=dict
    )

    def handle_result(
        self, request_id: int, attempt_result: AttemptResult
    ) -> None:
        """Handle the result of the current attempt of a request.

        Args:
            request_id: The request; ignored if it is no longer pending.
            attempt_result: How the attempt ended.
        """
        pending = self._state.pending.get(request_id)
        if pending is None:
            return
        upstream_name = self._release_upstream(pending, attempt_result)
        match attempt_result:
            case Answered():
                self._count_response(pending, attempt_result)
                self._finalizer.finish(
                    pending, ClaimState.DONE, attempt_result.recorded
                )
            case CallerDisconnected():
                self._handle_caller_gone(
                    pending, was_running=bool(upstream_name)
                )
            case _:
                pending.tried_upstreams.add(upstream_name)
                self._count_not_started(pending, attempt_result)
                self._retry_or_end(pending, attempt_result)
        self._dispatcher.dispatch_waiting(pending.request.service)

    def handle_probe(self, name: str, *, is_up: bool) -> None:
        """Confirm or dismiss a suspected crash after a probe.

        Args:
            name: Name of the probed upstream.
            is_up: It accepted a connection, so it has not crashed, or has
                already restarted.
        """
        crash = self._unconfirmed_crashes.get(name)
        if crash is None:
            return
        if is_up and crash.incarnation != name:
            crash.answered_ms = self._state.clock.now_ms()
            return
        self._resolve(name, crash, has_ended=not is_up)

    def resolve_restarts(self) -> None:
        """Confirm crashes of upstreams that are listed with a newer start.

        Those that are not listed so in time are dismissed.
        """
        now_ms = self._state.clock.now_ms()
        for name, crash in tuple(self._unconfirmed_crashes.items()):
            answered_ms = crash.answered_ms
            upstream = self._state.upstreams.get(name)
            if upstream and upstream.vm.incarnation != crash.incarnation:
                self._resolve(name, crash, has_ended=True)
            elif answered_ms and now_ms - answered_ms >= _RESTART_NOTICE_MS:
                self._resolve(name, crash, has_ended=False)

    def mark_leaving(self, upstream: UpstreamState) -> None:
        """Record a signal from an upstream that it is leaving."""
        now_ms = self._state.clock.now_ms()
        if not upstream.is_leaving(now_ms):
            self._state.emit(PublishRecord())
            name = upstream.vm.name
            self._state.emit(
                LogChange(f'upstream {name} signalled that it is leaving')
            )
        upstream.leaving_until_ms = now_ms + LEAVING_SIGNAL_TTL_MS

    def _release_upstream(
        self, pending: PendingRequest, attempt_result: AttemptResult
    ) -> str:
        """Detach a request from its upstream and return its name."""
        name = pending.upstream
        upstream = self._state.upstreams.get(name)
        if upstream is not None:
            upstream.record_end()
            self._update_upstream(upstream, pending, attempt_result)
        pending.upstream = ''
        return name

    def _update_upstream(
        self,
        upstream: UpstreamState,
        pending: PendingRequest,
        attempt_result: AttemptResult,
    ) -> None:
        match attempt_result:
            case Answered():
                upstream.record_response(attempt_result.latency_ms)
                upstream.reported_busy_slots = attempt_result.busy_slots
                if attempt_result.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    self._state.suspects.clear(pending.request.fingerprint)
            case NotStarted(reason=NotStartedReason.NOT_CONNECTED):
                self._record_failure(upstream)
            case Interrupted():
                self._record_failure(upstream)
                if attempt_result.reason is not InterruptedReason.TIMEOUT:
                    self._record_crash(upstream, pending)
        if (
            isinstance(attempt_result, (Answered, NotStarted))
            and attempt_result.is_leaving
        ):
            self.mark_leaving(upstream)

    def _record_failure(self, upstream: UpstreamState) -> None:
        now_ms = self._state.clock.now_ms()
        if not upstream.record_failure(now_ms):
            return
        if self._state.upstreams.may_eject(upstream, now_ms):
            upstream.eject(now_ms)
            name = upstream.vm.name
            self._state.emit(
                LogChange(f'ejected upstream {name} after repeated failures')
            )

    def _record_crash(
        self, upstream: UpstreamState, pending: PendingRequest
    ) -> None:
        name = upstream.vm.name
        crash = self._unconfirmed_crashes.get(name)
        # Attempts that were in flight at the detection broke with it.
        if crash and pending.dispatched_ms <= crash.detected_ms:
            return
        running = {
            each.request.fingerprint
            for each in self._state.pending.values()
            if each.upstream == name
        }
        incarnation = upstream.vm.incarnation
        blamed = self._state.suspects.record_crash(running, incarnation)
        if crash:
            blamed |= crash.blamed
        self._unconfirmed_crashes[name] = _UnconfirmedCrash(
            incarnation, self._state.clock.now_ms(), blamed
        )
        self._state.emit(ProbeUpstream(upstream.vm))

    def _resolve(
        self, name: str, crash: _UnconfirmedCrash, *, has_ended: bool
    ) -> None:
        self._unconfirmed_crashes.pop(name)
        suspects = self._state.suspects
        if not has_ended:
            suspects.dismiss(crash.blamed, crash.incarnation)
            return
        suspects.confirm(crash.blamed, crash.incarnation)
        self._state.emit(PublishRecord())

    def _count_response(
        self, pending: PendingRequest, attempt_result: Answered
    ) -> None:
        status_class = attempt_result.status // _STATUS_CLASS_SIZE
        key = ResponseKey(pending.service.name, status_class)
        self._state.response_counts[key] += 1
        took_ms = self._state.clock.now_ms() - pending.arrived_ms
        self._state.durations.record(pending.service.name, took_ms)

    def _count_not_started(
        self,
        pending: PendingRequest,
        attempt_result: AttemptResult,
    ) -> None:
        if isinstance(attempt_result, NotStarted):
            pending.attempts_not_started += 1

    def _handle_caller_gone(
        self, pending: PendingRequest, *, was_running: bool
    ) -> None:
        if not was_running:
            self._dispatcher.remove_from_queue(pending)
        self._shutdown_log.record_interrupted(
            pending.request, pending.due_ms, is_due=False
        )
        cannot_have_run = pending.cannot_have_run
        self._finalizer.finish(
            pending,
            ClaimState.RELEASED if cannot_have_run else ClaimState.UNKNOWN,
        )

    def _retry_or_end(
        self, pending: PendingRequest, attempt_result: AttemptResult
    ) -> None:
        if self._may_retry(pending, attempt_result):
            self._dispatcher.enqueue(pending, _refusal_reason(attempt_result))
            return
        reason = _refusal_reason(attempt_result)
        is_due = pending.due_ms <= self._state.clock.now_ms()
        if is_due and pending.due_ms < pending.deadline_ms:
            reason = self._shutdown_gate.reason(pending, reason)
            if not pending.cannot_have_run:
                self._shutdown_log.record_interrupted(
                    pending.request, pending.due_ms, is_due=True
                )
        self._finalizer.refuse_pending(pending, reason)

    def _may_retry(
        self, pending: PendingRequest, attempt_result: AttemptResult
    ) -> bool:
        if not pending.retry_rule.allows(attempt_result):
            return False
        if pending.due_ms <= self._state.clock.now_ms():
            return False
        fingerprint = pending.request.fingerprint
        if self._state.suspects.is_quarantined(fingerprint):
            return False
        budget = self._state.retry_budget
        if not budget.try_spend():
            return False
        self._state.invariants.check(
            Invariant.RETRIES_WITHIN_BUDGET,
            holds=budget.retries * 10 <= budget.requests,
        )
        return True


def _refusal_reason(attempt_result: AttemptResult) -> RefusalReason:
    match attempt_result:
        case Interrupted(reason=InterruptedReason.TIMEOUT):
            return RefusalReason.DEADLINE_EXCEEDED
        case NotStarted(reason=NotStartedReason.REFUSED_BY_UPSTREAM):
            return RefusalReason.NO_ROOM
        case BodyTooLarge():
            return RefusalReason.BODY_TOO_LARGE
    return RefusalReason.UPSTREAM_FAILED
