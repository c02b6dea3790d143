"""Detection of requests that crash upstreams."""

import asyncio
import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.blame import (
    Cleared,
    Crash,
    Suspects,
)
from catkindrift.clock import Clock
from catkindrift.gateway._crash_reports import CrashReports
from catkindrift.gateway._incarnation_check import IncarnationCheck
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._running_requests import RunningRequests
from catkindrift.gateway._unresolved_crash import UnresolvedCrash
from catkindrift.gateway._upstream_check import Liveness
from catkindrift.steering import Upstream

_LOG = logging.getLogger(__name__)
# The entry of an upstream that has ended lapses within this time.
_REMOVAL_NOTICE_MS = 15_000


@final
@attrs.define(eq=False, repr=False)
class CrashWatch:
    """Blames requests for crashes, but not for merely lost connections.

    When a response from an upstream is cut off, the requests that ran there
    are blamed and a check is started. The blame is confirmed if the check
    shows that this incarnation of the upstream has ended, and dismissed if it
    is alive or cannot be reached. If it cannot be reached and its entry is
    removed soon, it has ended after all.

    Args:
        clock: Source of time.
        check: Checks whether an incarnation has ended.
        metrics: Counts changes of blame.
        on_reported_crash: Called with an incarnation that has crashed by what
            another entry VM reports.
        on_confirmed_crash: Called with the incarnation that has crashed, to
            report the crash to other entry VMs at once.
    """

    _clock: Clock
    _check: IncarnationCheck
    _metrics: GatewayMetrics
    _on_reported_crash: Callable[[str], None]
    _on_confirmed_crash: Callable[[Upstream], None]
    running: RunningRequests = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: RunningRequests(watch._clock), takes_self=True
        ),
    )
    _suspects: Suspects = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: Suspects(watch._clock, can_crash_again=False),
            takes_self=True,
        ),
    )
    reports: CrashReports = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: CrashReports(watch._suspects), takes_self=True
        ),
    )
    _crashed_upstreams: set[str] = attrs.field(init=False, factory=set)
    _reported_upstreams: set[str] = attrs.field(init=False, factory=set)
    _checks: dict[str, asyncio.Task[None]] = attrs.field(
        init=False,
        factory=dict,
    )
    _check_times_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _responded: set[str] = attrs.field(init=False, factory=set)
    _unresolved: dict[str, UnresolvedCrash] = attrs.field(
        init=False, factory=dict
    )

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
        abandoned = self.running.abandoned_at(upstream.incarnation)
        if abandoned:
            self._blame_and_check(upstream, abandoned)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear the suspicion against a request with a whole response."""
        if self._suspects.is_suspect(fingerprint):
            _LOG.info('suspect %s cleared by a response', fingerprint)
            self._metrics.crash_blame.labels('cleared').inc()
        self._suspects.clear(fingerprint)

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether any entry VM has seen this incarnation crash."""
        incarnation = upstream.incarnation
        return (
            incarnation in self._crashed_upstreams
            or incarnation in self._reported_upstreams
        )

    def is_in_doubt(self, upstream: Upstream) -> bool:
        """Return whether a check of this incarnation is under way."""
        return upstream.incarnation in self._checks

    def record_alive(
        self, upstream: Upstream, since_ms: int, connected_ms: int
    ) -> None:
        """Retract blame for an upstream that has responded.

        Args:
            upstream: The upstream.
            since_ms: When the request was sent to which it responded; blame
                recorded before that time is dropped.
            connected_ms: When its connection was opened. If a restart may
                keep the id, blame from before that time is kept.
        """
        if upstream.born_ms:
            self._suspects.record_alive(
                upstream.incarnation, since_ms, connected_ms
            )
            return
        if since_ms > self._check_times_ms.get(upstream.incarnation, since_ms):
            self._responded.add(upstream.incarnation)
        self._unresolved.pop(upstream.incarnation, None)
        self._crashed_upstreams.discard(upstream.incarnation)
        self._suspects.record_alive(upstream.incarnation, since_ms)

    def record_disconnect(
        self,
        upstream: Upstream,
        fingerprint: str,
        connected_ms: int = 0,
    ) -> None:
        """Blame the requests running at an upstream, and check it.

        Args:
            upstream: The upstream.
            fingerprint: The request whose response was cut off.
            connected_ms: When its connection was opened.
        """
        running = self.running.running_at(upstream.incarnation)
        self._blame_and_check(upstream, {fingerprint, *running}, connected_ms)

    def record_idle_loss(self, upstream: Upstream) -> None:
        """Check an upstream that closed an idle connection too early.

        Only where a restart may keep the id; another id shows it otherwise.
        """
        if upstream.born_ms:
            running = self.running.running_at(upstream.incarnation)
            self._blame_and_check(upstream, set(running))

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
        reported = {each.upstream for each in crashes}
        for incarnation in reported - self._reported_upstreams:
            self._on_reported_crash(incarnation)
        self._reported_upstreams.update(reported)
        self._suspects.merge(crashes, cleared)

    def retain_upstreams(self, incarnations: frozenset[str]) -> None:
        """Drop records of incarnations that are no longer listed.

        Those that could not be reached before have ended.
        """
        oldest_ms = self._clock.now_ms() - _REMOVAL_NOTICE_MS
        for incarnation, unresolved in tuple(self._unresolved.items()):
            is_gone = incarnation not in incarnations
            if is_gone or unresolved.at_ms < oldest_ms:
                self._unresolved.pop(incarnation)
            if is_gone and unresolved.at_ms >= oldest_ms:
                self._suspects.record_crash(
                    unresolved.blamed, incarnation, unresolved.at_ms
                )
                self._confirm(unresolved, incarnation)
        self._crashed_upstreams &= incarnations
        self._reported_upstreams &= incarnations
        self.running.retain_upstreams(incarnations)

    def _blame_and_check(
        self,
        upstream: Upstream,
        running: set[str],
        connected_ms: int = 0,
    ) -> None:
        incarnation = upstream.incarnation
        checked_ms = self._check_times_ms.get(incarnation, connected_ms)
        if upstream.born_ms and connected_ms > checked_ms:
            # Perhaps a successor that has not stated its start yet.
            incarnation = f'{incarnation}+'
        if (
            incarnation in self._checks
            or incarnation in self._crashed_upstreams
        ):
            return
        self._check_times_ms[incarnation] = self._clock.now_ms()
        blamed = self._suspects.record_crash(running, incarnation)
        self._metrics.crash_blame.labels('blamed').inc(len(blamed))
        _LOG.info(
            'connection to upstream %s failed; requests running there: %s; '
            'blamed: %s',
            incarnation,
            sorted(running),
            sorted(blamed),
        )
        loop = asyncio.get_running_loop()
        check = loop.create_task(
            self._resolve_blame(upstream, incarnation, blamed)
        )
        self._checks[incarnation] = check

    async def _resolve_blame(
        self,
        upstream: Upstream,
        incarnation: str,
        blamed: frozenset[str],
    ) -> None:
        liveness = await self._check.run(upstream)
        self._checks.pop(incarnation, None)
        began_ms = self._check_times_ms.pop(incarnation)
        crash = UnresolvedCrash(upstream, blamed, began_ms)
        has_responded = incarnation in self._responded
        self._responded.discard(incarnation)
        if liveness is Liveness.ENDED and not has_responded:
            self._confirm(crash, incarnation)
            return
        if liveness is Liveness.UNKNOWN and not upstream.is_draining:
            self._unresolved[incarnation] = crash
        self._suspects.dismiss(blamed, incarnation)
        self._metrics.crash_blame.labels('dismissed').inc(len(blamed))
        _LOG.info(
            'blame for upstream %s dismissed, health check result: %s',
            incarnation,
            'responded meanwhile' if has_responded else liveness.value,
        )

    def _confirm(self, crash: UnresolvedCrash, incarnation: str) -> None:
        self._crashed_upstreams.add(incarnation)
        self.reports.confirm(crash.blamed, incarnation)
        self._metrics.crash_blame.labels('confirmed').inc(len(crash.blamed))
        self._on_confirmed_crash(crash.upstream)
        _LOG.warning(
            'upstream %s crashed while running %d blamed requests; '
            'quarantined: %s; verdicts: %s',
            incarnation,
            len(crash.blamed),
            sorted(filter(self.is_quarantined, crash.blamed)),
            [
                f'{each}: {self._suspects.verdict(each).text}'
                for each in sorted(crash.blamed)
            ],
        )
