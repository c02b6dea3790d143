"""A complete deployment on loopback in one process."""

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
from catkindrift.entry_settings import (
    Deployment,
    EntrySettings,
    LimitSettings,
    ListenSettings,
    OperatorRole,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    TlsSettings,
)
from catkindrift.limits import CircuitBreaker, TokenBucket
from catkindrift.plans import ConfigurationStore, put_service, put_zone
from catkindrift.server import EntryVm
from catkindrift.serving import ThreadedServer
from catkindrift.settings import Endpoint, VmSettings
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
_MAX_HEADER_BYTES = 65_536
_CALLER_THREADS = 24
_RESERVED_THREADS = 4
_CALLS_PER_SECOND = 200
_PLATFORM_TIMEOUT_MS = 2000


@final
@attrs.define(eq=False, repr=False)
class LocalDeployment:
    """Runs entry VMs with a simulated platform and simulated upstreams.

    Args:
        deployment: Sizes, availability zones and services.
        work_ms: Processing time of a request at an upstream.
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
        """Start the platform, then the upstreams, then the entry VMs.

        Args:
            with_entry_vms: Whether to start the entry VMs.
        """
        self.platform_url = self._start_platform()
        self._start_upstreams()
        await self._write_configuration(self.platform_url)
        self._make_all_entry_settings(self.platform_url)
        for name in self.settings if with_entry_vms else ():
            await self.start_entry_vm(name)

    async def start_entry_vm(self, name: str) -> None:
        """Start the entry VM with this name."""
        entry_vm = EntryVm(self.settings[name])
        self.entry_vms[name] = entry_vm
        await entry_vm.start()

    async def kill_entry_vm(self, name: str) -> None:
        """Close an entry VM abruptly, which simulates a crash."""
        await self.entry_vms.pop(name).close()

    async def stop(self) -> None:
        """Stop the entry VMs abruptly, then the upstreams and the platform."""
        for name in list(self.entry_vms):
            await self.kill_entry_vm(name)
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *(
                loop.run_in_executor(None, server.stop)
                for server in self._servers.values()
            ),
        )

    def stop_upstream(self, name: str) -> None:
        """Stop an upstream but keep it in the VM list."""
        self._servers.pop(name).stop()

    def _start_platform(self) -> str:
        server = _make_server(
            InMemoryStoreApp(self.store, self.faults),
            _PLATFORM_THREADS,
        )
        server.start()
        self._servers['platform'] = server
        return f'http://{LOOPBACK}:{server.port}'

    def _start_upstreams(self) -> None:
        slots = self._deployment.deployment.slots_per_upstream
        for name, service, zone in self._iterate_upstreams():
            application = UpstreamApp(name, slots, self._work_ms)
            server = _make_server(application, slots * 2)
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

    def _iterate_upstreams(self) -> Iterator[tuple[str, str, Zone]]:
        """Yield the name, service and zone of each upstream."""
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
        await ConfigurationStore(platform, clock).edit(
            self._add_services_and_zones
        )
        http_platform.close()

    def _add_services_and_zones(
        self, configuration: Configuration
    ) -> Configuration:
        for service in self._deployment.services:
            configuration = put_service(configuration, service)
        for zone in self._deployment.zones:
            configuration = put_zone(configuration, zone)
        return configuration

    def _make_all_entry_settings(self, platform_url: str) -> None:
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
        return tuple(
            settings.listen.peers for settings in self.settings.values()
        )


def _make_server(application: object, threads: int) -> ThreadedServer:
    return ThreadedServer(
        Endpoint(LOOPBACK, 0),
        application,
        threads,
        _MAX_HEADER_BYTES,
        TlsSettings(),
    )
