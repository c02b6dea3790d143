"""Learns from responses and from their absence."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._attempt_outcome import NotRun, OutcomeUnknown
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._running_attempt import RunningAttempt
from catkindrift.http1 import ResponseFailure, ResponseHead
from catkindrift.platform import cold_left_ms, is_misdirected, load_report
from catkindrift.steering import LoadReport, Placement, UpstreamState

# A full upstream's slots and queue, when it does not state its load.
_FULL_LOAD_FACTOR = 3


@final
@attrs.define(eq=False)
class UpstreamObserver:
    """Tells the state of an upstream what its responses show.

    Args:
        clock: Source of time.
        placement: Learns speeds.
        metrics: Counts failures.
    """

    _clock: Clock
    _placement: Placement
    _metrics: GatewayMetrics

    def record_connect_failure(self, state: UpstreamState) -> NotRun:
        """Note that an upstream took no connection."""
        state.eject(self._clock.now_ms())
        self._metrics.failures.labels('connect').inc()
        return NotRun(has_reached_upstream=False)

    def record_failure(
        self,
        state: UpstreamState,
        failure: ResponseFailure,
    ) -> OutcomeUnknown:
        """Note that a response was wrong, cut or missing."""
        state.record_failure(self._clock.now_ms())
        self._metrics.failures.labels(failure.value).inc()
        return OutcomeUnknown(failure)

    def record_head(self, state: UpstreamState, head: ResponseHead) -> None:
        """Learn the load and the coldness that a response states."""
        now_ms = self._clock.now_ms()
        report = load_report(head)
        if report:
            state.record_load(report, now_ms)
        cold_ms = cold_left_ms(head)
        if cold_ms:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)

    def record_refusal(
        self, state: UpstreamState, head: ResponseHead
    ) -> NotRun:
        """Note that an upstream did not start a request."""
        now_ms = self._clock.now_ms()
        if is_misdirected(head):
            state.eject(now_ms)
        else:
            state.record_refusal()
        if load_report(head) is None:
            slots = state.upstream.slots
            full = LoadReport(slots, slots * _FULL_LOAD_FACTOR, slots)
            state.record_load(full, now_ms)
        self._metrics.failures.labels('refused').inc()
        return NotRun(has_reached_upstream=True)

    def record_response(self, attempt: RunningAttempt) -> None:
        """Learn how long an upstream took."""
        now_ms = self._clock.now_ms()
        took_ms = now_ms - attempt.began_ms
        state = attempt.state
        speed = self._placement.latency(state.upstream.service)
        state.record_response(now_ms, took_ms, speed.average_ms)
        if not attempt.pending.was_queued:
            speed.add_sample(took_ms)
