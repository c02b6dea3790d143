"""Updates the state of upstreams from the results of attempts."""

import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import MalformedLimitError
from catkindrift.gateway._attempt_outcome import NotRun, OutcomeUnknown
from catkindrift.gateway._log_sampler import LogSampler
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._running_attempt import RunningAttempt
from catkindrift.http1 import ResponseFailure, ResponseHead
from catkindrift.platform import (
    cold_remaining_ms,
    is_from_upstream,
    is_leaving,
    is_misdirected,
    parse_load_figures,
    request_limit,
    requested_pause_ms,
)
from catkindrift.steering import (
    LimitChange,
    LoadReport,
    Placement,
    UpstreamLimits,
    UpstreamState,
)

_LOG = logging.getLogger(__name__)
# Assumed queue of a full upstream that doesn't report its load, as a multiple
# of its slots.
_FULL_QUEUE_FACTOR = 3
_LOG_EVERY = 100


@final
@attrs.define(eq=False, repr=False)
class UpstreamObserver:
    """Records attempt results in the state of their upstream.

    Args:
        clock: Source of time.
        placement: Holds the usual response time of each service.
        metrics: Counts failures and limits.
        limits: Limits that upstreams name.
        on_limit_change: Called when a limit has been named or has ended, to
            tell other entry VMs at once.
    """

    _clock: Clock
    _placement: Placement
    _metrics: GatewayMetrics
    _limits: UpstreamLimits
    _on_limit_change: Callable[[], None]
    _malformed: LogSampler = attrs.field(
        init=False, factory=lambda: LogSampler(_LOG_EVERY)
    )

    def record_connect_failure(self, state: UpstreamState) -> NotRun:
        """Eject an upstream that accepted no connection."""
        state.eject(self._clock.now_ms())
        self._metrics.failures.labels('connect').inc()
        return NotRun(has_reached_upstream=False)

    def record_failure(
        self,
        state: UpstreamState,
        failure: ResponseFailure,
    ) -> OutcomeUnknown:
        """Record that a response was malformed, truncated or missing."""
        state.record_failure(self._clock.now_ms())
        self._metrics.failures.labels(failure.value).inc()
        return OutcomeUnknown(failure)

    def record_head(self, state: UpstreamState, head: ResponseHead) -> None:
        """Record what a response states about its upstream.

        That is its load, its remaining cold time, the pause that it asks for,
        and whether it leaves.
        """
        now_ms = self._clock.now_ms()
        self._record_load(state, head, now_ms)
        cold_ms = cold_remaining_ms(head)
        if cold_ms:
            state.cold_until_ms = max(state.cold_until_ms, now_ms + cold_ms)
        pause_ms = requested_pause_ms(head)
        if pause_ms:
            until_ms = now_ms + pause_ms
            state.paused_until_ms = max(state.paused_until_ms, until_ms)
            self._metrics.failures.labels('paused').inc()
        if is_leaving(head) and not state.is_leaving:
            state.is_leaving = True
            _LOG.info('upstream %s states that it leaves', state.upstream.id)

    def record_limit(self, attempt: RunningAttempt, head: ResponseHead) -> None:
        """Record the limit that a response names, or that it names none.

        A malformed limit is logged and passed over. Only a response that the
        upstream itself generated can show that it names none.
        """
        try:
            per_second = request_limit(head)
        except MalformedLimitError as malformed:
            self._metrics.upstream_limit_changes.labels('malformed').inc()
            if self._malformed.is_due():
                _LOG.warning(
                    'upstream %s: %s', attempt.upstream.incarnation, malformed
                )
            return
        pending = attempt.pending
        if per_second is None and not is_from_upstream(
            head, pending.request_id
        ):
            return
        incarnation = attempt.upstream.incarnation
        change = self._limits.record(incarnation, per_second, attempt.began_ms)
        if change is not LimitChange.NONE:
            self._report_limit(incarnation, change, per_second)

    def record_refusal(
        self, state: UpstreamState, head: ResponseHead
    ) -> NotRun:
        """Record that an upstream refused a request without running it."""
        now_ms = self._clock.now_ms()
        if is_misdirected(head):
            state.eject(now_ms)
        else:
            state.record_refusal()
        if parse_load_figures(head).report is None:
            slots = state.upstream.slots
            full = LoadReport(slots, slots * _FULL_QUEUE_FACTOR, slots)
            state.record_load(full, now_ms)
        self._metrics.failures.labels('refused').inc()
        return NotRun(has_reached_upstream=True)

    def record_response(self, attempt: RunningAttempt) -> None:
        """Record a successful attempt and its response time.

        The usual response time of the service is learned only from requests
        that were not queued, since it must not include queueing.
        """
        now_ms = self._clock.now_ms()
        took_ms = now_ms - attempt.began_ms
        state = attempt.state
        latency = self._placement.latency(state.upstream.service)
        state.record_response(now_ms, took_ms, latency.average_ms)
        if not attempt.pending.was_queued:
            latency.add_sample(took_ms)

    def _record_load(
        self, state: UpstreamState, head: ResponseHead, now_ms: int
    ) -> None:
        """Record the reported load and speed; count what is invalid."""
        figures = parse_load_figures(head)
        if figures.report:
            state.record_load(figures.report, now_ms)
        state.host_speed.record(figures.speed_percent, now_ms)
        for name in figures.refused:
            self._metrics.invalid_load_figures.labels(name).inc()

    def _report_limit(
        self,
        incarnation: str,
        change: LimitChange,
        per_second: float | None,
    ) -> None:
        self._metrics.upstream_limit_changes.labels(change.value).inc()
        _LOG.info(
            'limit of upstream %s %s: %s requests per second',
            incarnation,
            change.value,
            per_second,
        )
        if change is not LimitChange.CHANGED:
            self._on_limit_change()
