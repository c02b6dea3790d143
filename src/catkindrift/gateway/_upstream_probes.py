"""Probes that show whether this entry VM reaches any upstream."""

import asyncio
import logging
import random
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.steering import (
    Upstream,
    UpstreamReachability,
    UpstreamRegistry,
)

_LOG = logging.getLogger(__name__)
# Upstreams of one probe.
_PROBED_UPSTREAMS = 4


@final
@attrs.define(eq=False, repr=False)
class UpstreamProbes:
    """Connects to a few random upstreams while reachability is in doubt.

    Args:
        pool: Connections to upstreams; keeps those that a probe opens.
        registry: All upstreams.
        reachability: Evidence, to which each connect adds.
        metrics: Shows whether this VM is cut off.
    """

    _pool: UpstreamPool
    _registry: UpstreamRegistry
    _reachability: UpstreamReachability
    _metrics: GatewayMetrics
    _task: asyncio.Task[None] | None = attrs.field(init=False, default=None)
    _was_cut_off: bool = attrs.field(init=False, default=False)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def run(self) -> bool:
        """Start a probe if one is needed; call several times a second.

        Returns:
            Whether this VM is cut off from all upstreams.
        """
        is_idle = self._task is None or self._task.done()
        if is_idle and self._reachability.needs_probe:
            self._reachability.begin_probe()
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._probe())
        is_cut_off = self._reachability.is_cut_off
        if is_cut_off != self._was_cut_off:
            self._report(is_cut_off)
        self._was_cut_off = is_cut_off
        return is_cut_off

    async def _probe(self) -> None:
        chosen = self._choose()
        reached = await asyncio.gather(*map(self._is_reached, chosen))
        self._metrics.reachability_probes.labels(str(any(reached))).inc()
        if chosen and not any(reached):
            self._reachability.record_failed_probe()

    async def _is_reached(self, upstream: Upstream) -> bool:
        connection = await self._pool.connect(upstream)
        if connection is None:
            return False
        self._pool.give_back(upstream, connection)
        return True

    def _choose(self) -> list[Upstream]:
        eligible = [
            state.upstream
            for state in self._registry.states
            if self._registry.is_eligible(state)
        ]
        count = min(len(eligible), _PROBED_UPSTREAMS)
        return self._rng.sample(eligible, count)

    def _report(self, is_cut_off: bool) -> None:
        self._metrics.cut_off.set(is_cut_off)
        if is_cut_off:
            _LOG.warning(
                'cut off from all upstreams: %d did not accept a connection, '
                'nor did a probe; other entry VMs reach upstreams',
                self._reachability.unreachable_count,
            )
        else:
            for state in self._registry.states:
                state.end_ejection()
            _LOG.info('reaches upstreams again')
