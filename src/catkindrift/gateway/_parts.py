"""Composition root of an entry VM on the users' platform."""

import functools
import logging
import random
from collections.abc import Mapping
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._attempt import AttemptSender
from catkindrift.gateway._bounded_output import BoundedOutput
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._directory import Directory
from catkindrift.gateway._entry_vm_records import EntryVmRecords
from catkindrift.gateway._forwarder import Forwarder
from catkindrift.gateway._handed_over_requests import (
    CUT_OFF_HEADER,
    HandedOverRequests,
)
from catkindrift.gateway._handover import Handover
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._incarnation_check import IncarnationCheck
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._metrics_page import MetricsPage
from catkindrift.gateway._missing_entries import MissingEntries
from catkindrift.gateway._overload_gate import OverloadGate
from catkindrift.gateway._permitted_headers import (
    HEADER_RULES,
    PEER_HEADER_RULES,
)
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._quotas import Quotas
from catkindrift.gateway._readiness import Readiness
from catkindrift.gateway._refusals import Refusals
from catkindrift.gateway._registration import Registration
from catkindrift.gateway._rejected_requests import RejectedRequests
from catkindrift.gateway._request_log import RequestLog
from catkindrift.gateway._response_deadlines import ResponseDeadlines
from catkindrift.gateway._shutdown_gate import ShutdownGate
from catkindrift.gateway._shutdown_log import ShutdownLog
from catkindrift.gateway._steering_tick import SteeringTick
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_silence import StoreSilence
from catkindrift.gateway._store_watches import StoreWatches
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.gateway._upstream_check import UpstreamCheck
from catkindrift.gateway._upstream_observer import UpstreamObserver
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.gateway._upstream_probes import UpstreamProbes
from catkindrift.gateway._urgent_heartbeats import UrgentHeartbeats
from catkindrift.gateway._zone_changes_page import ZoneChangesPage
from catkindrift.http1 import ConnectionLimit, HeldHeads, HttpServer
from catkindrift.platform import StoreClient
from catkindrift.settings import GatewayBoundSettings, GatewaySettings
from catkindrift.shutdown import RecentDurations, Shutdown
from catkindrift.steering import (
    CallerLimits,
    CandidateOrder,
    ColdRateLimiter,
    CostModel,
    Heartbeat,
    LocalChoices,
    Locality,
    MemberFacts,
    Members,
    Placement,
    ResponseSilence,
    SharedRetryBudget,
    SteeringBounds,
    UnseenRestarts,
    Upstream,
    UpstreamLimits,
    UpstreamReachability,
    UpstreamRegistry,
    ZoneDistances,
    neighbours_of,
)
from catkindrift.workspaces import QuotaBounds

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class GatewayParts:
    """Creates and connects all components of one entry VM.

    Args:
        settings: Checked settings.
        clock: Source of time.
    """

    _settings: GatewaySettings
    _clock: Clock
    store_client: StoreClient = attrs.field(init=False)
    state: PlatformState = attrs.field(init=False)
    members: Members = attrs.field(init=False)
    heartbeats: Heartbeats = attrs.field(init=False)
    urgent: UrgentHeartbeats = attrs.field(init=False)
    watches: StoreWatches = attrs.field(init=False)
    registration: Registration = attrs.field(init=False)
    regions: dict[str, str] = attrs.field(init=False)
    budget: SharedRetryBudget = attrs.field(init=False)
    cold_limiter: ColdRateLimiter = attrs.field(init=False)
    limits: UpstreamLimits = attrs.field(init=False)
    metrics: GatewayMetrics = attrs.field(init=False)
    log: RequestLog = attrs.field(init=False)
    shutdown: Shutdown = attrs.field(init=False)
    shutdown_log: ShutdownLog = attrs.field(init=False)
    deadlines: ResponseDeadlines = attrs.field(init=False)
    handed_over: HandedOverRequests = attrs.field(init=False)
    directory: Directory = attrs.field(init=False)
    distances: ZoneDistances = attrs.field(init=False)
    pool: UpstreamPool = attrs.field(init=False)
    reachability: UpstreamReachability = attrs.field(init=False)
    handover: Handover = attrs.field(init=False)
    quotas: Quotas = attrs.field(init=False)
    probes: UpstreamProbes = attrs.field(init=False)
    registry: UpstreamRegistry = attrs.field(init=False)
    restarts: UnseenRestarts = attrs.field(init=False)
    check: UpstreamCheck = attrs.field(init=False)
    crashes: CrashWatch = attrs.field(init=False)
    tick: SteeringTick = attrs.field(init=False)
    caller_server: HttpServer = attrs.field(init=False)
    peer_server: HttpServer = attrs.field(init=False)
    servers: list[tuple[HttpServer, str]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components."""
        clock = self._clock
        vm = self._settings.vm
        self.regions = dict(self._settings.zones)
        bounds = _steering_bounds(self._settings.bounds)
        self.budget = SharedRetryBudget(clock, bounds)
        self.cold_limiter = ColdRateLimiter(clock, bounds, vm.name)
        self.metrics = GatewayMetrics()
        self.limits = UpstreamLimits(clock, vm.name)
        self.log = RequestLog(clock, vm.name, BoundedOutput(clock), self.limits)
        self.shutdown = Shutdown(clock)
        self.shutdown_log = ShutdownLog(self.shutdown, self.metrics, self.log)
        self.deadlines = ResponseDeadlines(clock)
        self.distances = ZoneDistances(vm.zone, self.regions)
        self.registry = UpstreamRegistry(clock)
        self.reachability = UpstreamReachability(
            clock, lambda: len(self.registry.states), ResponseSilence(clock)
        )
        self.restarts = UnseenRestarts(
            clock, self.registry, self._cold_start_ms
        )
        self.pool = UpstreamPool(
            clock,
            self.distances,
            self.metrics,
            self.restarts.record_connect,
            self._handle_idle_loss,
            self.reachability,
        )
        self.probes = UpstreamProbes(
            self.pool, self.registry, self.reachability, self.metrics
        )
        self.check = UpstreamCheck(self.pool, self._health_path)
        self.crashes = CrashWatch(
            clock,
            IncarnationCheck(
                clock,
                self.check,
                self._find_upstream,
                self.restarts,
                self.reachability,
                lambda upstream: neighbours_of(
                    self.registry, upstream, clock.now_ms()
                ),
            ),
            self.metrics,
            self.restarts.expect,
            self._handle_confirmed_crash,
        )
        self._wire_state()
        self._wire_data_path()

    def apply(self, settings: GatewaySettings) -> None:
        """Apply zones and bounds of reloaded settings."""
        self.regions.update(settings.zones)
        bounds = _steering_bounds(settings.bounds)
        self.budget.bounds = bounds
        self.cold_limiter.bounds = bounds
        self.quotas.apply(_quota_bounds(settings.bounds))
        self.watches.apply(settings.bounds)
        self.directory.max_ttl_s = settings.bounds.directory_lifetime_s

    def _wire_state(self) -> None:
        settings = self._settings
        clock = self._clock
        store = settings.platform.endpoint
        client = StoreClient(store.host, store.port)
        self.store_client = client
        self.members = Members(clock, settings.vm.name)
        health = StoreHealth(clock)
        self.state = PlatformState(
            self.registry,
            self.regions,
            MissingEntries(clock, health),
        )
        self.watches = StoreWatches(
            clock,
            client,
            settings,
            self.state,
            self.members,
            health,
            StoreSilence(clock),
        )
        self.heartbeats = Heartbeats(
            clock,
            self.members,
            _initial_member(settings, clock),
            self.watches.gossip.revisions,
            self.crashes,
            health,
            self.limits,
            self.reachability,
            self._handle_heartbeat,
            relayed_limits=lambda: self.limits.notices(are_own=False),
            store_news=lambda: self.watches.gossip.news,
        )
        self.urgent = UrgentHeartbeats(clock, self.heartbeats)
        self.heartbeats.on_update = self.urgent.pass_on
        self.watches.silence.on_found = self.urgent.send
        self.watches.silence.on_heard = self.urgent.pass_on
        self.quotas = Quotas(
            clock,
            self.state,
            self.members,
            self.heartbeats,
            self.metrics,
            _quota_bounds(settings.bounds),
        )
        records = EntryVmRecords(
            clock, self.heartbeats, self.urgent, self.crashes, self.members
        )
        self.registration = Registration(
            clock, client, settings, self.heartbeats, records, self.members
        )
        self.watches.watch_entry_vms(
            self.registration.load, records.apply_change
        )
        client.era.on_change = self._handle_new_era

    def _wire_data_path(self) -> None:
        clock = self._clock
        locality = _locality(self._settings, clock, self.registry, self.regions)
        placement = Placement(
            clock,
            CandidateOrder(self.state.registry, self.distances, locality),
            CostModel(self.distances),
            self.cold_limiter,
            self.limits,
            _local_choices(self._settings.vm.name, clock, locality, self.pool),
        )
        self.tick = SteeringTick(
            clock,
            self.state,
            self.members,
            placement,
            self.cold_limiter,
            self.budget,
            self.limits,
            self.metrics,
        )
        refusals = Refusals(self.state, self.metrics, self.log)
        isolation = SuspectIsolation(
            placement,
            self.crashes,
            self.state.registry,
            self.members,
            self._settings.vm.name,
        )
        shutdown_gate = ShutdownGate(
            clock,
            self.shutdown,
            RecentDurations(clock),
            refusals,
            self.shutdown_log,
        )
        own_forwarder = Forwarder(
            clock,
            self.state,
            isolation,
            OverloadGate(
                clock,
                isolation,
                lambda service: placement.latency(service).average_ms,
                self._settings.overload.queueing,
                self.metrics,
            ),
            AttemptSender(
                clock,
                self.pool,
                UpstreamObserver(
                    clock,
                    placement,
                    self.metrics,
                    self.limits,
                    self.urgent.send,
                ),
                self.crashes,
                self.check,
                self.restarts,
                self.reachability.silence,
                self.registry.is_eligible,
            ),
            self.budget,
            self.cold_limiter,
            self.limits,
            refusals,
            self.metrics,
            self.log,
            self.quotas,
            self.deadlines,
            shutdown_gate,
            self.shutdown_log,
        )
        self.handover = Handover(
            clock,
            self.heartbeats.own_member,
            self.members,
            self.reachability,
            refusals,
            self.metrics,
            self.log,
            self._configuration_version,
        )
        last_hop = attrs.evolve(
            own_forwarder,
            shutdown_gate=attrs.evolve(
                shutdown_gate, refusal_headers=[(CUT_OFF_HEADER, b'1')]
            ),
        )
        self._listen(
            attrs.evolve(own_forwarder, handover=self.handover), last_hop
        )

    def _listen(self, forwarder: Forwarder, last_hop: Forwarder) -> None:
        clock = self._clock
        listen = self._settings.listen
        self.directory = Directory(
            self.members,
            self.heartbeats,
            self._settings.bounds.directory_lifetime_s,
        )
        readiness = Readiness(lambda: self.heartbeats.own_member.can_serve)
        self.handed_over = HandedOverRequests(
            last_hop.forward,
            ZoneChangesPage(clock, self.watches.find_shared_watch),
            self.reachability,
            self.metrics,
            self._configuration_version,
        )
        create_server = functools.partial(
            HttpServer, clock, held=HeldHeads(), limit=ConnectionLimit()
        )
        rejected_at = functools.partial(
            RejectedRequests, self.metrics, self.log
        )
        self.caller_server = create_server(
            forwarder,
            self._caller_limits,
            rejected_at('callers'),
            HEADER_RULES,
        )
        self.peer_server = create_server(
            self.handed_over,
            self._caller_limits,
            rejected_at('peers'),
            PEER_HEADER_RULES,
        )
        pages = (
            ('directory', self.directory, listen.directory),
            ('readiness', readiness, listen.readiness),
            ('metrics', MetricsPage(self.metrics), listen.metrics),
        )
        self.servers = [
            (self.caller_server, listen.callers),
            *(
                (
                    create_server(page, error_response=rejected_at(name)),
                    address,
                )
                for name, page, address in pages
            ),
            (self.peer_server, listen.peers),
        ]

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.watches.gossip.handle_heartbeat(heartbeat)
        self.crashes.merge_reports(heartbeat.crashes, heartbeat.cleared)
        self.limits.merge(heartbeat.limits)
        self.limits.merge(heartbeat.relayed_limits, are_relayed=True)
        self.reachability.record_peer(heartbeat.reached_age_ms)
        self.quotas.handle_heartbeat(heartbeat)

    def _handle_new_era(self) -> None:
        _LOG.warning(
            'the store is back from an older copy, era %d; reading all again',
            self.store_client.era.number,
        )
        self.state.missing.record_rollback()
        self.registration.publish()

    def _handle_idle_loss(self, incarnation: str) -> None:
        known = self.registry.find_incarnation(incarnation)
        if known:
            self.crashes.record_idle_loss(known.upstream)

    def _handle_confirmed_crash(self, upstream: Upstream) -> None:
        self.restarts.expect(upstream.incarnation)
        self.urgent.send()
        self.registration.publish()

    def _find_upstream(self, upstream_id: str) -> Upstream | None:
        known = self.registry.find(upstream_id)
        return known.upstream if known else None

    def _configuration_version(self) -> int:
        configuration = self.state.configuration
        return configuration.version if configuration else 0

    def _cold_start_ms(self, service: str) -> int:
        rules = self.state.rules.get(service)
        return rules.cold_start_ms if rules else 0

    def _health_path(self, service: str) -> str:
        rules = self.state.rules.get(service)
        return rules.health_path if rules else ''

    def _caller_limits(self) -> CallerLimits:
        return self.state.limits


def _initial_member(settings: GatewaySettings, clock: Clock) -> MemberFacts:
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


def _steering_bounds(settings: GatewayBoundSettings) -> SteeringBounds:
    return SteeringBounds(
        settings.retry_ratio,
        round(settings.retry_window_s * _MILLISECONDS_PER_SECOND),
        settings.retry_slack,
        settings.cold_overshoot,
        settings.cold_slack,
    )


def _locality(
    settings: GatewaySettings,
    clock: Clock,
    registry: UpstreamRegistry,
    regions: Mapping[str, str],
) -> Locality | None:
    """Return the zones in which requests run; None if all are alike."""
    chosen = settings.placement
    if not chosen.locality:
        return None
    return Locality(
        clock, registry, settings.vm.zone, regions, chosen.remembered_objects
    )


def _local_choices(
    vm_name: str,
    clock: Clock,
    locality: Locality | None,
    pool: UpstreamPool,
) -> LocalChoices | None:
    # Each VM's numbers are its own, so that VMs don't choose alike.
    numbers = random.Random(vm_name)  # noqa: S311
    if locality is None:
        return None
    return LocalChoices(clock, locality, numbers, pool.has_idle)


def _quota_bounds(settings: GatewayBoundSettings) -> QuotaBounds:
    return QuotaBounds(
        round(settings.quota_window_s * _MILLISECONDS_PER_SECOND),
        settings.quota_overshoot,
        settings.quota_slack,
    )
