"""Detection of requests that crash upstreams."""

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

# Pauses before each further health check of an unreachable upstream.
_CHECK_PAUSES_SECONDS = (0.1, 0.4, 1.5)


@final
@attrs.define(eq=False)
class CrashWatch:
    """Blames requests for crashes, but not for merely lost connections.

    When a response from an upstream is cut off, the requests that ran there
    are blamed and a health check is sent. The blame is confirmed if the check
    shows that the upstream has ended, and dismissed if the upstream is alive
    or cannot be reached.

    Args:
        clock: Source of time.
        check: Sends health checks to upstreams.
        metrics: Counts changes of blame.
        on_confirmed_crash: Called when a crash is confirmed, to report it to
            other entry VMs at once.
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
        """Create the tracking of in-flight requests and of suspects."""
        self.running = RunningRequests(self._clock)
        self._suspects = Suspects(self._clock, can_crash_again=False)
        self.reports = CrashReports(self._suspects)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request has crashed too many upstreams to run."""
        return self._suspects.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request may be to blame for a crash."""
        return self._suspects.is_suspect(fingerprint)

    def record_connect_failure(self, upstream: Upstream) -> None:
        """Check an upstream that accepted no connection.

        It may have been crashed by a request whose caller has disconnected;
        without such a request there is none to blame.
        """
        abandoned = self.running.abandoned_at(upstream.id)
        if abandoned:
            self._blame_and_check(upstream, abandoned)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear the suspicion against a request with a whole response."""
        if self._suspects.is_suspect(fingerprint):
            logging.info('suspect %s cleared by a response', fingerprint)
            self._metrics.blame.labels('cleared').inc()
        self._suspects.clear(fingerprint)

    def record_alive(self, upstream: Upstream, since_ms: int) -> None:
        """Retract blame for an upstream that has responded.

        Args:
            upstream: The upstream.
            since_ms: When the request was sent to which it responded; blame
                recorded before that time is dropped.
        """
        self._crashed_upstreams.discard(upstream.id)
        self._suspects.record_alive(upstream.id, since_ms)

    def record_disconnect(self, upstream: Upstream, fingerprint: str) -> None:
        """Blame the requests running at an upstream, and check it.

        Args:
            upstream: The upstream.
            fingerprint: The request whose response was cut off.
        """
        running = self.running.running_at(upstream.id)
        self._blame_and_check(upstream, {fingerprint, *running})

    def next_crashes(self) -> tuple[Crash, ...]:
        """Return the confirmed crashes for the next heartbeat."""
        return self.reports.next_crashes()

    def merge_reports(
        self,
        crashes: tuple[Crash, ...],
        cleared: tuple[Cleared, ...] = (),
    ) -> None:
        """Merge what another entry VM has reported.

        Args:
            crashes: Confirmed crashes.
            cleared: Suspects that have had a whole response.
        """
        self._suspects.merge(crashes, cleared)

    def retain_upstreams(self, known_ids: frozenset[str]) -> None:
        """Drop records of upstreams that are no longer listed."""
        self._crashed_upstreams &= known_ids
        self.running.retain_upstreams(known_ids)

    def _blame_and_check(self, upstream: Upstream, running: set[str]) -> None:
        if (
            upstream.id in self._checks
            or upstream.id in self._crashed_upstreams
        ):
            return
        blamed = self._suspects.record_crash(running, upstream.id)
        self._metrics.blame.labels('blamed').inc(len(blamed))
        logging.info(
            'connection to upstream %s failed; requests running there: %s; '
            'blamed: %s',
            upstream.incarnation,
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
                'upstream %s crashed while running %d blamed requests; '
                'quarantined: %s',
                upstream.incarnation,
                len(blamed),
                sorted(filter(self.is_quarantined, blamed)),
            )
            return
        self._suspects.dismiss(blamed, upstream.id)
        self._metrics.blame.labels('dismissed').inc(len(blamed))
        logging.info(
            'blame for upstream %s dismissed, health check result: %s',
            upstream.incarnation,
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
