"""Lifecycle of an entry VM on the users' platform."""

import asyncio
import logging
from typing import final

import attrs

from catkindrift.build import running_build
from catkindrift.clock import Clock, SystemClock
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._parts import GatewayParts
from catkindrift.gateway._planned_stop import PlannedStop
from catkindrift.gateway._supervisor import Job, Supervisor
from catkindrift.settings import Endpoint, GatewaySettings

_LOG = logging.getLogger(__name__)
# Interval of steering updates, exported counters and role assignment.
_TICK_SECONDS = 1.0
# Interval of updates of readiness, store health and missing entries.
_SHORT_TICK_SECONDS = 0.1


@final
@attrs.define(eq=False, repr=False)
class Gateway:
    """An entry VM that accepts requests and forwards them to upstreams.

    Args:
        settings: Checked settings.
        clock: Source of time.
    """

    _settings: GatewaySettings
    _clock: Clock = attrs.field(factory=SystemClock)
    _parts: GatewayParts = attrs.field(init=False)
    _tasks: list[asyncio.Task[None]] = attrs.field(init=False, factory=list)
    _is_stopping: bool = attrs.field(init=False, default=False)
    _supervisor: Supervisor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components."""
        self._parts = GatewayParts(self._settings, self._clock)
        self._supervisor = Supervisor(self._parts.metrics)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be routed to this VM."""
        return self._parts.state.is_complete and not self._is_stopping

    async def start(self) -> None:
        """Start the servers and all background tasks.

        Raises:
            OSError: An address cannot be listened on.
        """
        self._show_build()
        for server, address in self._parts.servers:
            endpoint = Endpoint.parse(address)
            await server.start(endpoint.host, endpoint.port)
        peers = Endpoint.parse(self._settings.listen.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            self._heartbeat_protocol,
            local_addr=(peers.host, peers.port),
        )
        for name, job in self._jobs().items():
            supervised = self._supervisor.keep_running(name, job)
            self._tasks.append(loop.create_task(supervised))
        _LOG.info('entry VM %s has started', self._settings.vm.name)

    def apply(self, settings: GatewaySettings) -> None:
        """Apply reloaded bounds and zones.

        Changes to names, addresses and platform settings are ignored until
        the next start.
        """
        kept = (settings.vm, settings.listen, settings.platform)
        before = self._settings
        if kept != (before.vm, before.listen, before.platform):
            _LOG.warning(
                'changes of vm, listen and platform settings need a restart',
            )
        self._parts.apply(settings)
        self._settings = attrs.evolve(before, bounds=settings.bounds)
        _LOG.info('applied reloaded settings')

    async def stop(self) -> None:
        """Stop gracefully: finish in-flight requests in the grace period."""
        self._is_stopping = True
        self._parts.heartbeats.set_ready(is_ready=False)
        await PlannedStop(self._clock, self._parts, self._settings.bounds).run()
        for task in self._tasks:
            task.cancel()
        _LOG.info('stopped')

    def _show_build(self) -> None:
        build = running_build()
        self._parts.metrics.build_info.labels(build.digest).set(1)
        _LOG.info('runs build %s', build.digest)
        if build.stale_count:
            _LOG.warning(
                'compiled %d modules at this start: the build folder is of '
                'other sources; run the build command of deploy/system.toml',
                build.stale_count,
            )

    def _jobs(self) -> dict[str, Job]:
        return {
            'heartbeats': self._parts.heartbeats.run,
            'registration': self._parts.registration.run,
            'steering': self._run_ticks,
            'readiness': self._run_short_ticks,
            'quotas': self._parts.quotas.run,
            **self._parts.watches.jobs(),
        }

    async def _run_ticks(self) -> None:
        while True:
            self._parts.tick.run()
            self._parts.log.log_dropped_lines()
            self._export_store_calls()
            self._parts.metrics.limited_upstreams.set(
                self._parts.limits.limited_count
            )
            incarnations = self._parts.state.registry.incarnations
            self._parts.pool.prune(incarnations)
            self._parts.handover.prune()
            self._parts.crashes.retain_upstreams(incarnations)
            await asyncio.sleep(_TICK_SECONDS)
            self._parts.watches.assign_roles()

    async def _run_short_ticks(self) -> None:
        while True:
            is_cut_off = self._parts.probes.run()
            self._parts.heartbeats.set_ready(
                is_ready=self.is_ready, reaches_upstreams=not is_cut_off
            )
            self._parts.watches.health.detect_stall()
            self._parts.watches.check()
            self._parts.state.remove_expired()
            await asyncio.sleep(_SHORT_TICK_SECONDS)

    def _export_store_calls(self) -> None:
        client = self._parts.store_client
        metrics = self._parts.metrics
        for method, count in client.call_counts.items():
            metrics.store_calls.labels(method).set(count)
        for request, total in client.request_counts.items():
            metrics.store_requests.labels(request).set(total)
        for kind, unreadable in client.unreadable.counts.items():
            metrics.store_unreadable_entries.labels(kind).set(unreadable)
        self._export_confirmations()

    def _export_confirmations(self) -> None:
        metrics = self._parts.metrics
        silence = self._parts.watches.silence
        metrics.store_silences.labels('found').set(silence.found_count)
        metrics.store_silences.labels('heard').set(silence.heard_count)
        news = self._parts.watches.gossip.news
        for kind, age_ms in news.confirmed_ages_ms.items():
            metrics.store_confirmation_age_ms.labels(kind).set(age_ms)

    def _heartbeat_protocol(self) -> Heartbeats:
        return self._parts.heartbeats
