"""What follows the end of an attempt."""

from typing import final

import attrs

from catkindrift.claims import ClaimState
from catkindrift.core._answer_count import AnswerCount
from catkindrift.core._answers import Answers
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import LogChange, ProbeUpstream, PublishRecord
from catkindrift.core._invariants import Invariant
from catkindrift.core._pending import Pending
from catkindrift.core._refusal import RefusalReason
from catkindrift.core._state import CoreState
from catkindrift.retries import (
    Answered,
    AttemptResult,
    BodyTooLarge,
    Broken,
    BrokenReason,
    CallerGone,
    NotStarted,
    NotStartedReason,
)
from catkindrift.routing import UpstreamState

# An upstream's signal that it is leaving holds this long after it was seen.
LEAVING_LIFE_MS = 30_000
_STATUS_CLASS_SIZE = 100


@final
@attrs.define
class _Episode:
    """A broken upstream whose crash is not confirmed yet."""

    began_ms: int
    blamed: frozenset[str]


@final
@attrs.define(eq=False)
class Outcomes:
    """Learns from ended attempts, and retries or ends their requests.

    Args:
        state: State of the entry VM.
        answers: Ends requests.
        dispatcher: Takes requests for another attempt.
    """

    _state: CoreState
    _answers: Answers
    _dispatcher: Dispatcher
    _episodes: dict[str, _Episode] = attrs.field(init=False, factory=dict)

    def attempt_ended(self, request_id: int, ended: AttemptResult) -> None:
        """Handle the end of the current attempt of a request."""
        pending = self._state.pending.get(request_id)
        if pending is None:
            return
        failed_at = self._leave_upstream(pending, ended)
        match ended:
            case Answered():
                self._count_answer(pending, ended)
                self._answers.end(pending, ClaimState.DONE, ended.recorded)
            case CallerGone():
                self._caller_gone(pending, was_running=bool(failed_at))
            case _:
                pending.tried.add(failed_at)
                self._count_not_started(pending, ended)
                self._retry_or_end(pending, ended)
        self._dispatcher.pump(pending.request.service)

    def upstream_probed(self, name: str, *, is_up: bool) -> None:
        """Confirm or dismiss the blame for a broken connection."""
        episode = self._episodes.pop(name, None)
        if episode is None:
            return
        if is_up:
            self._state.suspects.dismiss(episode.blamed, name)
            return
        self._state.suspects.confirm(episode.blamed, name)
        self._state.emit(PublishRecord())

    def saw_leaving(self, upstream: UpstreamState) -> None:
        """Record an upstream's own signal that it is leaving."""
        now_ms = self._state.clock.now_ms()
        if not upstream.is_leaving(now_ms):
            self._state.emit(PublishRecord())
            name = upstream.vm.name
            self._state.emit(LogChange(f'upstream {name} is leaving'))
        upstream.leaving_until_ms = now_ms + LEAVING_LIFE_MS

    def _leave_upstream(self, pending: Pending, ended: AttemptResult) -> str:
        """Return where the attempt ran, after learning from its end."""
        name = pending.upstream
        upstream = self._state.upstreams.get(name)
        if upstream is not None:
            upstream.record_end()
            self._learn(upstream, pending, ended)
        pending.upstream = ''
        return name

    def _learn(
        self,
        upstream: UpstreamState,
        pending: Pending,
        ended: AttemptResult,
    ) -> None:
        match ended:
            case Answered():
                upstream.record_response(ended.latency_ms)
                upstream.reported_busy_slots = ended.busy_slots
                self._state.suspects.cleared(pending.request.fingerprint)
            case NotStarted(reason=NotStartedReason.NOT_CONNECTED):
                self._note_failure(upstream)
            case Broken():
                self._note_failure(upstream)
                if ended.reason is not BrokenReason.TIMEOUT:
                    self._note_crash(upstream, pending)
        if isinstance(ended, (Answered, NotStarted)) and ended.is_leaving:
            self.saw_leaving(upstream)

    def _note_failure(self, upstream: UpstreamState) -> None:
        now_ms = self._state.clock.now_ms()
        if not upstream.record_failure(now_ms):
            return
        if self._state.upstreams.may_eject(upstream, now_ms):
            upstream.eject(now_ms)
            name = upstream.vm.name
            self._state.emit(LogChange(f'upstream {name} is ejected'))

    def _note_crash(self, upstream: UpstreamState, pending: Pending) -> None:
        name = upstream.vm.name
        episode = self._episodes.get(name)
        if episode and pending.dispatched_ms <= episode.began_ms:
            return
        running = {
            each.request.fingerprint
            for each in self._state.pending.values()
            if each.upstream == name
        }
        blamed = self._state.suspects.crashed(running, name)
        if episode:
            blamed |= episode.blamed
        began_ms = self._state.clock.now_ms()
        self._episodes[name] = _Episode(began_ms, blamed)
        self._state.emit(ProbeUpstream(upstream.vm))

    def _count_answer(self, pending: Pending, ended: Answered) -> None:
        status_class = ended.status // _STATUS_CLASS_SIZE
        count = AnswerCount(pending.service.name, status_class)
        self._state.answers[count] += 1

    def _count_not_started(
        self,
        pending: Pending,
        ended: AttemptResult,
    ) -> None:
        if isinstance(ended, NotStarted):
            pending.not_started += 1

    def _caller_gone(self, pending: Pending, *, was_running: bool) -> None:
        if not was_running:
            self._dispatcher.withdraw(pending)
        surely_not_run = pending.surely_not_run
        self._answers.end(
            pending,
            ClaimState.RELEASED if surely_not_run else ClaimState.UNKNOWN,
        )

    def _retry_or_end(self, pending: Pending, ended: AttemptResult) -> None:
        if self._may_retry(pending, ended):
            self._dispatcher.enqueue(pending, _reason(ended))
            return
        self._answers.end_refused(pending, _reason(ended))

    def _may_retry(self, pending: Pending, ended: AttemptResult) -> bool:
        if not pending.rule.allows(ended):
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


def _reason(ended: AttemptResult) -> RefusalReason:
    match ended:
        case Broken(reason=BrokenReason.TIMEOUT):
            return RefusalReason.DEADLINE
        case NotStarted(reason=NotStartedReason.REFUSED_BY_UPSTREAM):
            return RefusalReason.NO_ROOM
        case BodyTooLarge():
            return RefusalReason.BODY_TOO_LARGE
    return RefusalReason.UPSTREAM_FAILED
