"""A whole deployment in one process, on loopback."""

import asyncio
import hashlib
import random
from collections.abc import Iterator
from typing import final

import attrs

from catkindrift.clock import SystemClock
from catkindrift.demo._ports import LOOPBACK, free_ports
from catkindrift.demo._upstream_app import UpstreamApp
from catkindrift.domain import (
    Configuration,
    Vm,
    VmRole,
    Zone,
)
from catkindrift.limits import CircuitBreaker, TokenBucket
from catkindrift.plans import ConfigurationStore, put_service, put_zone
from catkindrift.server import EntryVm
from catkindrift.serving import ThreadedServer
from catkindrift.settings import (
    Deployment,
    Endpoint,
    EntrySettings,
    LimitSettings,
    ListenSettings,
    OperatorRole,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    TlsSettings,
    VmSettings,
)
from catkindrift.store import (
    CallGate,
    GuardedPlatform,
    HttpPlatform,
    InjectedFaults,
    InMemoryStore,
    InMemoryStoreApp,
)

DEMO_TOKEN = 'demo-operator'
_PORTS_PER_ENTRY_VM = 3
_PLATFORM_THREADS = 64
_HEADER_BYTES = 65_536
_CALLER_THREADS = 24
_RESERVED_THREADS = 4
_CALLS_PER_SECOND = 200
_PLATFORM_TIMEOUT_MS = 2000


@final
@attrs.define(eq=False)
class LocalDeployment:
    """Stand-in platform, stand-in upstreams and entry VMs.

    Args:
        deployment: Sizes, places and services.
        work_ms: Time that a request takes at an upstream.
    """

    _deployment: Deployment
    _work_ms: int = 5
    store: InMemoryStore = attrs.field(init=False, factory=InMemoryStore)
    faults: InjectedFaults = attrs.field(init=False, factory=InjectedFaults)
    upstreams: dict[str, UpstreamApp] = attrs.field(init=False, factory=dict)
    entry_vms: dict[str, EntryVm] = attrs.field(init=False, factory=dict)
    settings: dict[str, EntrySettings] = attrs.field(init=False, factory=dict)
    platform_url: str = attrs.field(init=False, default='')
    _servers: dict[str, ThreadedServer] = attrs.field(init=False, factory=dict)

    async def start(self, *, with_entry_vms: bool = True) -> None:
        """Start all parts, the platform first.

        Args:
            with_entry_vms: Start the entry VMs too.
        """
        self.platform_url = self._start_platform()
        self._start_upstreams()
        await self._write_configuration(self.platform_url)
        self._make_settings(self.platform_url)
        for name in self.settings if with_entry_vms else ():
            await self.start_entry_vm(name)

    async def start_entry_vm(self, name: str) -> None:
        """Start one entry VM."""
        entry_vm = EntryVm(self.settings[name])
        self.entry_vms[name] = entry_vm
        await entry_vm.start()

    async def stop_entry_vm(self, name: str) -> None:
        """End one entry VM at once, as a crash does."""
        await self.entry_vms.pop(name).close()

    async def stop(self) -> None:
        """End all parts."""
        for name in list(self.entry_vms):
            await self.stop_entry_vm(name)
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *(
                loop.run_in_executor(None, server.stop)
                for server in self._servers.values()
            ),
        )

    def stop_upstream(self, name: str) -> None:
        """End one upstream; the VM list still shows it."""
        self._servers.pop(name).stop()

    def _start_platform(self) -> str:
        server = _server(
            InMemoryStoreApp(self.store, self.faults),
            _PLATFORM_THREADS,
        )
        server.start()
        self._servers['platform'] = server
        return f'http://{LOOPBACK}:{server.port}'

    def _start_upstreams(self) -> None:
        slots = self._deployment.deployment.slots_per_upstream
        for name, service, zone in self._upstream_places():
            application = UpstreamApp(name, slots, self._work_ms)
            server = _server(application, slots * 2)
            server.start()
            self.upstreams[name] = application
            self._servers[name] = server
            vm = Vm(
                name=name,
                zone=zone.name,
                role=VmRole.UPSTREAM,
                address=LOOPBACK,
                port=server.port,
                service=service,
                slots=slots,
            )
            self.store.put_vm(vm)

    def _upstream_places(self) -> Iterator[tuple[str, str, Zone]]:
        """Yield name, service and zone of each upstream."""
        zones = self._deployment.zones
        for upstreams in self._deployment.upstreams:
            for index in range(upstreams.count):
                zone = zones[index % len(zones)]
                name = f'{upstreams.service}-{index + 1}'
                yield name, upstreams.service, zone

    async def _write_configuration(self, url: str) -> None:
        clock = SystemClock()
        http_platform = HttpPlatform(url, _PLATFORM_TIMEOUT_MS)
        budget = TokenBucket(clock, _CALLS_PER_SECOND, _CALLS_PER_SECOND)
        gate = CallGate(budget, CircuitBreaker(clock, random.Random()))
        platform = GuardedPlatform(http_platform, gate)
        await ConfigurationStore(platform, clock).edit(self._configure)
        http_platform.close()

    def _configure(self, configuration: Configuration) -> Configuration:
        for service in self._deployment.services:
            configuration = put_service(configuration, service)
        for zone in self._deployment.zones:
            configuration = put_zone(configuration, zone)
        return configuration

    def _make_settings(self, platform_url: str) -> None:
        sizes = self._deployment.deployment
        for rank, zone in enumerate(self._deployment.zones):
            count = sizes.entry_vms_per_zone
            if rank < sizes.extra_entry_vms:
                count += 1
            for index in range(count):
                name = f'entry-{zone.name}-{index + 1}'
                self._make_entry_settings(name, zone, platform_url)

    def _make_entry_settings(
        self,
        name: str,
        zone: Zone,
        platform_url: str,
    ) -> None:
        ports = free_ports(_PORTS_PER_ENTRY_VM)
        addresses = [f'{LOOPBACK}:{port}' for port in ports]
        digest = hashlib.sha256(DEMO_TOKEN.encode()).hexdigest()
        self.settings[name] = EntrySettings(
            vm=VmSettings(name, zone.name, zone.region),
            listen=ListenSettings(*addresses),
            platform=PlatformSettings(platform_url),
            peers=PeerSettings(seeds=self._seeds()),
            limits=LimitSettings(
                caller_threads=_CALLER_THREADS,
                reserved_threads=_RESERVED_THREADS,
            ),
            operators=(
                OperatorSettings('demo', OperatorRole.OPERATOR, digest),
            ),
        )
        vm = Vm(
            name=name,
            zone=zone.name,
            role=VmRole.ENTRY,
            address=LOOPBACK,
            port=ports[0],
            peer_port=ports[2],
        )
        self.store.put_vm(vm)

    def _seeds(self) -> tuple[str, ...]:
        return tuple(known.listen.peers for known in self.settings.values())


def _server(application: object, threads: int) -> ThreadedServer:
    return ThreadedServer(
        Endpoint(LOOPBACK, 0),
        application,
        threads,
        _HEADER_BYTES,
        TlsSettings(),
    )
