"""Composition root of an entry VM."""

import asyncio
import random
from pathlib import Path
from typing import final

import attrs

from catkindrift.callers import (
    Forwarder,
    LookupApp,
    PendingDecisions,
    TimeLimits,
    UpstreamSender,
)
from catkindrift.claims import ClaimStore
from catkindrift.clock import Clock
from catkindrift.core import Bounds, EntryCore, Event, Identity
from catkindrift.domain import Vm, VmRole
from catkindrift.entry_settings import EntrySettings
from catkindrift.exchange import PeerExchange, PeerRequestHandler
from catkindrift.http1 import ConnectionPool, HttpServer
from catkindrift.limits import CircuitBreaker, Grant, TokenBucket
from catkindrift.operators import (
    ApiContext,
    DeploymentReader,
    OperatorAuthorizer,
    OperatorService,
    PlanRunner,
)
from catkindrift.peers import PeerAddress, PeerClient, PeersService
from catkindrift.plans import ConfigurationStore, PlanExecutor
from catkindrift.server._core_collector import CoreCollector
from catkindrift.server._effect_runner import EffectRunner
from catkindrift.server._listeners import (
    create_caller_server,
    create_operator_server,
    create_peer_listener,
)
from catkindrift.server._peer_listener import PeerListener
from catkindrift.serving import (
    EventLoopBridge,
    Metrics,
    ThreadedServer,
    peer_client_context,
)
from catkindrift.settings import Endpoint
from catkindrift.store import CallGate, GuardedPlatform, HttpPlatform
from catkindrift.watching import PlatformWatcher, VmListCache


@final
@attrs.define(eq=False, repr=False)
class Composition:
    """Creates and connects all parts of one entry VM.

    Must be created on the event loop that the parts run on.

    Args:
        settings: Validated settings.
        clock: Source of time.
        rng: Source of randomness for jitter.
    """

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    core: EntryCore = attrs.field(init=False)
    http_platform: HttpPlatform = attrs.field(init=False)
    platform: GuardedPlatform = attrs.field(init=False)
    peer_client: PeerClient = attrs.field(init=False)
    effect_runner: EffectRunner = attrs.field(init=False)
    exchange: PeerExchange = attrs.field(init=False)
    watcher: PlatformWatcher = attrs.field(init=False)
    plan_runner: PlanRunner = attrs.field(init=False)
    claims: ClaimStore = attrs.field(init=False)
    caller_server: HttpServer = attrs.field(init=False)
    operator_server: ThreadedServer = attrs.field(init=False)
    peer_listener: PeerListener = attrs.field(init=False)
    record_changed: asyncio.Event = attrs.field(
        init=False, factory=asyncio.Event
    )
    _gate: CallGate = attrs.field(init=False)
    _vm_list: VmListCache = attrs.field(init=False)
    _reader: DeploymentReader = attrs.field(init=False)
    bridge: EventLoopBridge = attrs.field(init=False)
    decisions: PendingDecisions = attrs.field(init=False)
    pool: ConnectionPool = attrs.field(init=False)
    upstream_sender: UpstreamSender = attrs.field(init=False)
    _time_limits: TimeLimits = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create all parts, dependencies first."""
        self._make_core()
        self._make_platform()
        self._make_peers()
        self._make_servers()

    def post(self, event: Event) -> None:
        """Pass an event to the core and run the effects that it returns."""
        self.effect_runner.run(self.core.handle(event))

    def _make_core(self) -> None:
        settings = self.settings
        callers, _, peers = settings.listen.endpoints
        vm = Vm(
            name=settings.vm.name,
            zone=settings.vm.zone,
            role=VmRole.ENTRY,
            address=callers.host,
            port=callers.port,
            peer_port=peers.port,
        )
        limits = settings.limits
        self.core = EntryCore.create(
            Identity(vm, settings.vm.region, self.clock.wall_ms()),
            self.clock,
            self.rng,
            Bounds(
                max_requests=limits.caller_threads - limits.reserved_threads,
                lookup_lifetime_ms=limits.lookup_lifetime_ms,
                stop_timeout_ms=limits.stop_timeout_ms,
            ),
        )

    def _make_platform(self) -> None:
        settings = self.settings.platform
        self.http_platform = HttpPlatform(settings.url, settings.timeout_ms)
        budget = TokenBucket(
            self.clock,
            settings.calls_per_second,
            settings.burst_calls,
        )
        self._gate = CallGate(budget, CircuitBreaker(self.clock, self.rng))
        self.platform = GuardedPlatform(self.http_platform, self._gate)
        identity = self.core.state.identity
        holder = f'{identity.name}/{identity.incarnation}'
        self.claims = ClaimStore(self.platform, self.clock, holder)
        self._reader = DeploymentReader(self.core, self.platform)

    def _make_peers(self) -> None:
        settings = self.settings
        secret = _read_secret(settings.peers.secret_file)
        identity = self.core.state.identity
        self.peer_client = PeerClient(secret, peer_client_context(settings.tls))
        self.bridge = EventLoopBridge(asyncio.get_running_loop())
        self.decisions = PendingDecisions(self.post)
        self.pool = ConnectionPool(self.clock)
        self._time_limits = TimeLimits(self.clock)
        self.upstream_sender = UpstreamSender(
            self.clock, self.pool, self._time_limits
        )
        self._vm_list = VmListCache(self.clock, self.post)
        self.effect_runner = EffectRunner(
            identity.vm,
            self.clock,
            self.core.state.members,
            self.decisions,
            self.claims,
            self.peer_client,
            self.upstream_sender,
            self._time_limits,
            self.record_changed.set,
            self.post,
        )
        self.exchange = PeerExchange(
            self.core,
            self.clock,
            self.rng,
            self.peer_client,
            _parse_seeds(settings.peers.seeds),
            self._vm_list,
            self.post,
        )
        request_handler = PeerRequestHandler(
            self.core,
            self.clock,
            self._vm_list,
            self.post,
            self._pop_lent_grants,
        )
        self.peer_listener = create_peer_listener(
            settings,
            PeersService(request_handler, secret),
        )

    def _pop_lent_grants(self, correlation_id: int) -> tuple[Grant, ...]:
        return self.effect_runner.lent_grants.pop(correlation_id, ())

    def _make_servers(self) -> None:
        settings = self.settings
        store = ConfigurationStore(self.platform, self.clock)
        self.watcher = PlatformWatcher(
            self.core,
            self.clock,
            self.rng,
            self.platform,
            store,
            settings.platform.watch_wait_ms,
            self.post,
            self._vm_list.update,
        )
        self.plan_runner = PlanRunner(
            PlanExecutor(self.clock, settings.vm.name),
            store,
            self._reader,
            self.rng,
            self.post,
        )
        metrics = Metrics()
        metrics.registry.register(
            CoreCollector(
                self.core,
                self.platform,
                self._gate,
                self.bridge.call,
            ),
        )
        scheme = 'https' if settings.tls.enabled else 'http'
        self.caller_server = create_caller_server(
            settings,
            self.clock,
            Forwarder(
                self.decisions,
                self.core.admission.may_read_body,
                self.clock,
                self.upstream_sender,
                self._time_limits,
                metrics,
            ),
            LookupApp(self.core.lookup_table, scheme, self._time_limits),
            metrics,
        )
        self.operator_server = create_operator_server(
            settings,
            ApiContext(self.bridge, OperatorAuthorizer(settings.operators)),
            OperatorService(store, self._reader, self.clock, self.post),
            self._reader,
            metrics,
        )


def _read_secret(path: str) -> str:
    if not path:
        return ''
    return Path(path).read_text(encoding='utf-8').strip()


def _parse_seeds(texts: tuple[str, ...]) -> tuple[PeerAddress, ...]:
    endpoints = [Endpoint.parse(text) for text in texts]
    return tuple(
        PeerAddress(endpoint.host, endpoint.port) for endpoint in endpoints
    )
