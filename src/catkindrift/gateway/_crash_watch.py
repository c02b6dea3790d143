"""Requests that crash the upstreams which run them."""

import asyncio
from collections.abc import Callable
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.gateway._crash_reports import CrashReports
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._running_requests import RunningRequests
from catkindrift.gateway._upstream_check import Liveness, UpstreamCheck
from catkindrift.retries import Cleared, Crash, Suspects
from catkindrift.steering import Upstream

# Pauses before further checks of an upstream that cannot be reached.
_CHECK_PAUSES_SECONDS = (0.1, 0.4, 1.5)


@final
@attrs.define(eq=False)
class CrashWatch:
    """Blames requests for crashes, and tells crashes from lost answers.

    An upstream that breaks off is asked whether it is still there. If it is
    not, what it ran is blamed; if it is, or cannot be reached, nothing is.

    Args:
        clock: Source of time.
        check: Asks upstreams.
        metrics: Counts blame.
        on_news: Called when other entry VMs have to hear of a crash.
    """

    _clock: Clock
    _check: UpstreamCheck
    _metrics: GatewayMetrics
    _on_confirmed_crash: Callable[[], None]
    running: RunningRequests = attrs.field(init=False)
    reports: CrashReports = attrs.field(init=False)
    _suspects: Suspects = attrs.field(init=False)
    _crashed_upstreams: set[str] = attrs.field(init=False, factory=set)
    _checks: dict[str, asyncio.Task[None]] = attrs.field(
        init=False,
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Start without suspects."""
        self.running = RunningRequests(self._clock)
        self._suspects = Suspects(self._clock, can_crash_again=False)
        self.reports = CrashReports(self._suspects)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request has crashed enough upstreams."""
        return self._suspects.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether an upstream has ended under the request."""
        return self._suspects.is_suspect(fingerprint)

    def record_connect_failure(self, upstream: Upstream) -> None:
        """Examine an upstream that takes no connection after requests left."""
        left = self.running.abandoned_at(upstream.id)
        if left:
            self._start_check(upstream, left)

    def clear_suspect(self, fingerprint: str) -> None:
        """Forget the suspicion against a request that was answered."""
        if self._suspects.is_suspect(fingerprint):
            logging.info('suspect %s was answered', fingerprint)
            self._metrics.blame.labels('cleared').inc()
        self._suspects.clear(fingerprint)

    def record_alive(self, upstream: Upstream, since_ms: int) -> None:
        """Take back blame for an upstream that has not ended after all.

        Args:
            upstream: The upstream.
            since_ms: When it was sent the request that it has answered.
        """
        self._crashed_upstreams.discard(upstream.id)
        self._suspects.record_alive(upstream.id, since_ms)

    def record_disconnect(self, upstream: Upstream, fingerprint: str) -> None:
        """Blame what ran, until it is known whether the upstream is up.

        Args:
            upstream: The upstream.
            fingerprint: The request whose response broke off.
        """
        running = self.running.running_at(upstream.id)
        self._start_check(upstream, {fingerprint, *running})

    def next_crashes(self) -> tuple[Crash, ...]:
        """Return crashes for the next heartbeat."""
        return self.reports.next_crashes()

    def merge_reports(
        self,
        crashes: tuple[Crash, ...],
        cleared: tuple[Cleared, ...] = (),
    ) -> None:
        """Take over what another entry VM has seen."""
        self._suspects.merge(crashes, cleared)

    def retain_upstreams(self, known_ids: frozenset[str]) -> None:
        """Forget which upstreams have ended when they are listed no longer."""
        self._crashed_upstreams &= known_ids
        self.running.retain_upstreams(known_ids)

    def _start_check(self, upstream: Upstream, running: set[str]) -> None:
        if (
            upstream.id in self._checks
            or upstream.id in self._crashed_upstreams
        ):
            return
        blamed = self._suspects.record_crash(running, upstream.id)
        self._metrics.blame.labels('blamed').inc(len(blamed))
        logging.info(
            'upstream %s broke off; requests running there: %s; blamed: %s',
            upstream.id,
            sorted(running),
            sorted(blamed),
        )
        loop = asyncio.get_running_loop()
        check = loop.create_task(self._resolve_blame(upstream, blamed))
        self._checks[upstream.id] = check

    async def _resolve_blame(
        self,
        upstream: Upstream,
        blamed: frozenset[str],
    ) -> None:
        liveness = await self._probe(upstream)
        self._checks.pop(upstream.id, None)
        if liveness is Liveness.ENDED:
            self._crashed_upstreams.add(upstream.id)
            self._suspects.confirm(blamed, upstream.id)
            self._metrics.blame.labels('confirmed').inc(len(blamed))
            self._on_confirmed_crash()
            logging.warning(
                'upstream %s crashed while it ran %d blamed requests; '
                'quarantined: %s',
                upstream.id,
                len(blamed),
                sorted(filter(self.is_quarantined, blamed)),
            )
            return
        self._suspects.dismiss(blamed, upstream.id)
        self._metrics.blame.labels('dismissed').inc(len(blamed))
        logging.info(
            'blame for upstream %s is dismissed: %s',
            upstream.id,
            liveness.value,
        )

    async def _probe(self, upstream: Upstream) -> Liveness:
        liveness = await self._check.probe(upstream)
        for pause_s in _CHECK_PAUSES_SECONDS:
            if liveness is not Liveness.UNKNOWN:
                break
            await asyncio.sleep(pause_s)
            liveness = await self._check.probe(upstream)
        return liveness
