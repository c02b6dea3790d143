"""What follows the end of an attempt."""

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

# An upstream's signal that it is leaving holds this long after it was seen.
LEAVING_SIGNAL_TTL_MS = 30_000
_STATUS_CLASS_SIZE = 100


@final
@attrs.define
class _UnconfirmedCrash:
    """A broken upstream whose crash is not confirmed yet."""

    detected_ms: int
    blamed: frozenset[str]


@final
@attrs.define(eq=False)
class AttemptResults:
    """Learns from ended attempts, and retries or ends their requests.

    Args:
        state: State of the entry VM.
        answers: Ends requests.
        dispatcher: Takes requests for another attempt.
    """

    _state: CoreState
    _finalizer: RequestFinalizer
    _dispatcher: Dispatcher
    _unconfirmed_crashes: dict[str, _UnconfirmedCrash] = attrs.field(
        init=False, factory=dict
    )

    def handle_result(
        self, request_id: int, attempt_result: AttemptResult
    ) -> None:
        """Handle the end of the current attempt of a request."""
        pending = self._state.pending.get(request_id)
        if pending is None:
            return
        failed_at = self._release_upstream(pending, attempt_result)
        match attempt_result:
            case Answered():
                self._count_response(pending, attempt_result)
                self._finalizer.finish(
                    pending, ClaimState.DONE, attempt_result.recorded
                )
            case CallerDisconnected():
                self._handle_caller_gone(pending, was_running=bool(failed_at))
            case _:
                pending.tried_upstreams.add(failed_at)
                self._count_not_started(pending, attempt_result)
                self._retry_or_end(pending, attempt_result)
        self._dispatcher.dispatch_waiting(pending.request.service)

    def handle_probe(self, name: str, *, is_up: bool) -> None:
        """Confirm or dismiss the blame for a broken connection."""
        crash = self._unconfirmed_crashes.pop(name, None)
        if crash is None:
            return
        if is_up:
            self._state.suspects.dismiss(crash.blamed, name)
            return
        self._state.suspects.confirm(crash.blamed, name)
        self._state.emit(PublishRecord())

    def mark_leaving(self, upstream: UpstreamState) -> None:
        """Record an upstream's own signal that it is leaving."""
        now_ms = self._state.clock.now_ms()
        if not upstream.is_leaving(now_ms):
            self._state.emit(PublishRecord())
            name = upstream.vm.name
            self._state.emit(LogChange(f'upstream {name} is leaving'))
        upstream.leaving_until_ms = now_ms + LEAVING_SIGNAL_TTL_MS

    def _release_upstream(
        self, pending: PendingRequest, attempt_result: AttemptResult
    ) -> str:
        """Return where the attempt ran, after learning from its end."""
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
            self._state.emit(LogChange(f'upstream {name} is ejected'))

    def _record_crash(
        self, upstream: UpstreamState, pending: PendingRequest
    ) -> None:
        name = upstream.vm.name
        crash = self._unconfirmed_crashes.get(name)
        if crash and pending.dispatched_ms <= crash.detected_ms:
            return
        running = {
            each.request.fingerprint
            for each in self._state.pending.values()
            if each.upstream == name
        }
        blamed = self._state.suspects.record_crash(running, name)
        if crash:
            blamed |= crash.blamed
        detected_ms = self._state.clock.now_ms()
        self._unconfirmed_crashes[name] = _UnconfirmedCrash(detected_ms, blamed)
        self._state.emit(ProbeUpstream(upstream.vm))

    def _count_response(
        self, pending: PendingRequest, attempt_result: Answered
    ) -> None:
        status_class = attempt_result.status // _STATUS_CLASS_SIZE
        key = ResponseKey(pending.service.name, status_class)
        self._state.response_counts[key] += 1

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
        self._finalizer.refuse_pending(pending, _refusal_reason(attempt_result))

    def _may_retry(
        self, pending: PendingRequest, attempt_result: AttemptResult
    ) -> bool:
        if not pending.retry_rule.allows(attempt_result):
            return False
        if pending.deadline_ms <= self._state.clock.now_ms():
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
