"""Composition root of an entry VM on the users' platform."""

import asyncio
from collections.abc import Coroutine
from typing import Any, final

import attrs
from absl import logging

from catkindrift.clock import Clock, SystemClock
from catkindrift.gateway._attempt import AttemptSender
from catkindrift.gateway._bounded_output import BoundedOutput
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._directory import Directory, MetricsPage, Readiness
from catkindrift.gateway._facts import Facts
from catkindrift.gateway._forwarder import Forwarder
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._registration import Registration
from catkindrift.gateway._request_log import RequestLog
from catkindrift.gateway._steering_tick import SteeringTick
from catkindrift.gateway._store_watches import StoreWatches
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.http1 import HttpServer
from catkindrift.platform import StoreClient
from catkindrift.settings import Endpoint, GatewayBoundSettings, GatewaySettings
from catkindrift.steering import (
    CallerLimits,
    CandidateOrder,
    ColdPace,
    CostModel,
    Heartbeat,
    MemberFacts,
    Members,
    Placement,
    SharedRetryBudget,
    SteeringBounds,
    UpstreamRegistry,
    ZoneDistances,
)

_MILLISECONDS_PER_SECOND = 1000
# Pace and budgets follow facts at this interval.
_TICK_SECONDS = 1.0
# Readiness follows facts at this interval.
_SHORT_TICK_SECONDS = 0.1
# Callers that were sent here before the stop still come for this time: the
# lifetime of directory answers, which some callers use three times over.
_STILL_NAMED_SECONDS = 3.5
# Left of the grace period for closing, so that nothing is cut by the kill.
_CLOSING_SECONDS = 0.5


@final
@attrs.define(eq=False)
class Gateway:
    """One entry VM: takes callers' requests and forwards them.

    Args:
        settings: Checked settings.
        clock: Source of time.
    """

    _settings: GatewaySettings
    _clock: Clock = attrs.field(factory=SystemClock)
    _facts: Facts = attrs.field(init=False)
    _members: Members = attrs.field(init=False)
    _heartbeats: Heartbeats = attrs.field(init=False)
    _watches: StoreWatches = attrs.field(init=False)
    _registration: Registration = attrs.field(init=False)
    _regions: dict[str, str] = attrs.field(init=False)
    _budget: SharedRetryBudget = attrs.field(init=False)
    _pace: ColdPace = attrs.field(init=False)
    _metrics: GatewayMetrics = attrs.field(init=False)
    _log: RequestLog = attrs.field(init=False)
    _distances: ZoneDistances = attrs.field(init=False)
    _pool: UpstreamPool = attrs.field(init=False)
    _crashes: CrashWatch = attrs.field(init=False)
    _tick: SteeringTick = attrs.field(init=False)
    _callers: HttpServer = attrs.field(init=False)
    _servers: list[tuple[HttpServer, str]] = attrs.field(init=False)
    _tasks: list[asyncio.Task[None]] = attrs.field(init=False, factory=list)
    _is_stopping: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        """Wire the parts."""
        self._regions = dict(self._settings.zones)
        bounds = _shared_bounds(self._settings.bounds)
        self._budget = SharedRetryBudget(self._clock, bounds)
        self._pace = ColdPace(self._clock, bounds, self._settings.vm.name)
        self._metrics = GatewayMetrics()
        self._log = RequestLog(
            self._clock,
            self._settings.vm.name,
            BoundedOutput(self._clock),
        )
        self._distances = ZoneDistances(self._settings.vm.zone, self._regions)
        self._pool = UpstreamPool(
            self._clock,
            self._distances,
            self._metrics,
        )
        self._crashes = CrashWatch(self._clock, self._pool)
        self._wire_facts()
        self._wire_data_path()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._facts.is_complete and not self._is_stopping

    async def start(self) -> None:
        """Listen, and start to learn.

        Raises:
            OSError: An address cannot be listened on.
        """
        for server, address in self._servers:
            endpoint = Endpoint.parse(address)
            await server.start(endpoint.host, endpoint.port)
        peers = Endpoint.parse(self._settings.listen.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            self._heartbeat_protocol,
            local_addr=(peers.host, peers.port),
        )
        for job in self._jobs():
            task = loop.create_task(job)
            task.add_done_callback(_report_end)
            self._tasks.append(task)
        logging.info('entry VM %s has started', self._settings.vm.name)

    def apply(self, settings: GatewaySettings) -> None:
        """Put newer settings in force, but for names and addresses."""
        kept = (settings.vm, settings.listen, settings.platform)
        before = self._settings
        if kept != (before.vm, before.listen, before.platform):
            logging.warning('names and addresses change at the next start')
        self._regions.update(settings.zones)
        bounds = _shared_bounds(settings.bounds)
        self._budget.bounds = bounds
        self._pace.bounds = bounds
        self._settings = attrs.evolve(before, bounds=settings.bounds)
        logging.info('newer settings are in force')

    async def stop(self) -> None:
        """End without cutting a request off, within the grace period."""
        self._is_stopping = True
        logging.info('stopping: callers are sent elsewhere')
        self._heartbeats.set_ready(is_ready=False)
        self._callers.drain()
        await self._wait_until_empty()
        for task in self._tasks:
            task.cancel()
        for server, _ in self._servers:
            server.close()
        await asyncio.sleep(_SHORT_TICK_SECONDS)
        logging.info('stopped')

    def _wire_facts(self) -> None:
        settings = self._settings
        clock = self._clock
        store = settings.platform.endpoint
        client = StoreClient(store.host, store.port)
        self._members = Members(clock, settings.vm.name)
        self._facts = Facts(clock, UpstreamRegistry(clock), self._regions)
        self._watches = StoreWatches(
            clock, client, settings, self._facts, self._members
        )
        self._heartbeats = Heartbeats(
            clock,
            self._members,
            _own_facts(settings, clock),
            self._watches.revisions,
            self._crashes.told,
            self._heard,
        )
        self._registration = Registration(client, settings, self._heartbeats)

    def _wire_data_path(self) -> None:
        clock = self._clock
        placement = Placement(
            clock,
            CandidateOrder(self._facts.registry, self._distances),
            CostModel(self._distances),
            self._pace,
        )
        self._tick = SteeringTick(
            self._facts,
            self._members,
            placement,
            self._pace,
            self._budget,
        )
        forwarder = Forwarder(
            clock,
            self._facts,
            placement,
            AttemptSender(
                clock,
                self._pool,
                placement,
                self._metrics,
                self._crashes,
            ),
            self._budget,
            self._pace,
            self._crashes,
            self._metrics,
            self._log,
        )
        self._listen(forwarder)

    def _listen(self, forwarder: Forwarder) -> None:
        clock = self._clock
        listen = self._settings.listen
        directory = Directory(self._members, self._heartbeats)
        readiness = Readiness(self._ready_now)
        self._callers = HttpServer(clock, forwarder, self._caller_limits)
        self._servers = [
            (self._callers, listen.callers),
            (HttpServer(clock, directory), listen.directory),
            (HttpServer(clock, readiness), listen.readiness),
            (HttpServer(clock, MetricsPage(self._metrics)), listen.metrics),
        ]

    def _jobs(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._heartbeats.run(),
            self._registration.run(),
            self._run_ticks(),
            self._run_short_ticks(),
            *self._watches.jobs(),
        ]

    async def _wait_until_empty(self) -> None:
        began_ms = self._clock.now_ms()
        grace_s = self._settings.bounds.grace_s - _CLOSING_SECONDS
        elapsed_s = float(0)
        while elapsed_s < grace_s:
            is_named = elapsed_s < min(_STILL_NAMED_SECONDS, grace_s)
            if not is_named and not self._callers.busy_count:
                break
            await asyncio.sleep(_SHORT_TICK_SECONDS)
            elapsed_ms = self._clock.now_ms() - began_ms
            elapsed_s = elapsed_ms / _MILLISECONDS_PER_SECOND

    async def _run_ticks(self) -> None:
        while True:
            self._tick.run()
            self._log.tell_left_out()
            self._pool.prune(self._facts.registry.ids)
            await asyncio.sleep(_TICK_SECONDS)
            self._watches.choose_sentinels()

    async def _run_short_ticks(self) -> None:
        while True:
            self._heartbeats.set_ready(is_ready=self.is_ready)
            self._facts.drop_missing()
            await asyncio.sleep(_SHORT_TICK_SECONDS)

    def _heartbeat_protocol(self) -> Heartbeats:
        return self._heartbeats

    def _heard(self, heartbeat: Heartbeat) -> None:
        self._watches.heard(heartbeat)
        self._crashes.learn(heartbeat.crashes)

    def _caller_limits(self) -> CallerLimits:
        return self._facts.limits

    def _ready_now(self) -> bool:
        return self.is_ready


def _own_facts(settings: GatewaySettings, clock: Clock) -> MemberFacts:
    return MemberFacts(
        name=settings.vm.name,
        started_ms=clock.wall_ms(),
        zone=settings.vm.zone,
        region=settings.vm.region,
        callers=settings.listen.callers,
        peers=settings.listen.peers,
        is_ready=False,
        count=0,
    )


def _shared_bounds(settings: GatewayBoundSettings) -> SteeringBounds:
    return SteeringBounds(
        settings.retry_ratio,
        round(settings.retry_window_s * _MILLISECONDS_PER_SECOND),
        settings.retry_slack,
        settings.cold_overshoot,
        settings.cold_slack,
    )


def _report_end(task: asyncio.Task[None]) -> None:
    """Say that periodic work has ended, which it never does by itself."""
    if not task.cancelled() and task.exception():
        logging.error('periodic work ended', exc_info=task.exception())
