"""Requests that crash the upstreams which run them."""

import asyncio
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.retries import Crash, Suspects
from catkindrift.steering import Upstream

# Newest crashes that a heartbeat tells of; older ones were told before.
_MOST_TOLD = 8


@final
@attrs.define(eq=False)
class CrashWatch:
    """Blames requests for crashes, and tells crashes from lost answers.

    An upstream that breaks off and takes no new connection has crashed. One
    that takes a connection has lost an answer, and nobody is blamed.

    Args:
        clock: Source of time.
        pool: Connections, to see whether an upstream still takes one.
        metrics: Counts blame.
    """

    _clock: Clock
    _pool: UpstreamPool
    _metrics: GatewayMetrics
    _suspects: Suspects = attrs.field(init=False)
    _running: dict[str, dict[int, str]] = attrs.field(init=False, factory=dict)
    _checks: dict[str, asyncio.Task[None]] = attrs.field(
        init=False,
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Start without suspects."""
        self._suspects = Suspects(self._clock)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request has crashed enough upstreams."""
        return self._suspects.is_quarantined(fingerprint)

    def started(self, upstream: Upstream, token: int, fingerprint: str) -> None:
        """Note that an upstream may run a request."""
        self._running.setdefault(upstream.id, {})[token] = fingerprint

    def ended(self, upstream: Upstream, token: int) -> None:
        """Note that an upstream runs a request no longer."""
        running = self._running.get(upstream.id, {})
        running.pop(token, None)
        if not running:
            self._running.pop(upstream.id, None)

    def answered(self, fingerprint: str) -> None:
        """Forget the suspicion against a request that was answered."""
        if self._suspects.is_suspect(fingerprint):
            logging.info('suspect %s was answered', fingerprint)
            self._metrics.blame.labels('cleared').inc()
        self._suspects.cleared(fingerprint)

    def broke_off(self, upstream: Upstream) -> None:
        """Blame what ran, until it is known whether the upstream is up."""
        if upstream.id in self._checks:
            return
        running = self._running.get(upstream.id, {}).values()
        blamed = self._suspects.crashed(running, upstream.id)
        if blamed:
            self._metrics.blame.labels('blamed').inc(len(blamed))
            logging.info(
                'upstream %s broke off; requests running there: %s; blamed: %s',
                upstream.id,
                sorted(set(running)),
                sorted(blamed),
            )
            loop = asyncio.get_running_loop()
            check = loop.create_task(self._check(upstream, blamed))
            self._checks[upstream.id] = check

    def told(self) -> tuple[Crash, ...]:
        """Return the newest crashes, for other entry VMs."""
        newest = sorted(self._suspects.crashes(), key=_age)
        return tuple(newest[:_MOST_TOLD])

    def learn(self, crashes: tuple[Crash, ...]) -> None:
        """Take over crashes that another entry VM has seen."""
        self._suspects.merge(crashes)

    async def _check(self, upstream: Upstream, blamed: frozenset[str]) -> None:
        connection = await self._pool.connect(upstream)
        self._checks.pop(upstream.id, None)
        if connection:
            self._pool.give_back(upstream, connection)
            self._suspects.dismiss(blamed, upstream.id)
            self._metrics.blame.labels('dismissed').inc(len(blamed))
            logging.info('upstream %s is up; blame dismissed', upstream.id)
            return
        self._suspects.confirm(blamed, upstream.id)
        self._metrics.blame.labels('confirmed').inc(len(blamed))
        logging.warning(
            'upstream %s crashed while it ran %d requests of this entry VM',
            upstream.id,
            len(blamed),
        )


def _age(crash: Crash) -> int:
    return crash.age_ms
