"""Watch of the configuration and VM list in the platform."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import ConfigurationReceived, EntryCore, Event
from catkindrift.domain import Vm
from catkindrift.errors import (
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from catkindrift.jitter import jittered
from catkindrift.plans import ConfigurationSnapshot, ConfigurationStore
from catkindrift.rendezvous import rendezvous_order
from catkindrift.store import Platform

PLATFORM_ERRORS = (
    PlatformUnavailableError,
    PlatformAmbiguousError,
    PlatformConflictError,
)
_WATCHERS_PER_ZONE = 2
_VM_LIST_POLL_SECONDS = 1.0
_RETRY_DELAY_SECONDS = 0.5
# Interval of plain reads, which detect a watch that has silently stopped.
_FULL_LOAD_INTERVAL_MS = 10_000


@final
@attrs.define(eq=False, repr=False)
class PlatformWatcher:
    """Watches the platform while this VM is a watcher of its zone.

    Rendezvous hashing over the live entry VMs selects two watchers per zone;
    the other VMs get their updates from peers. The number of open watches thus
    grows with the number of zones, not of VMs.

    Args:
        core: The decision core.
        clock: Source of time.
        rng: Source of jitter.
        platform: The rate-limited platform client.
        store: Storage of the configuration in the platform.
        wait_ms: Longest time that a watch waits for a change.
        post: Handles an event on the loop.
        update_vm_list: Applies a VM list and the local time in milliseconds
            at which it was requested.

    Attributes:
        missed_updates: Number of newer configurations that a plain read found
            before the watch reported them.
    """

    _core: EntryCore
    _clock: Clock
    _rng: random.Random
    _platform: Platform
    _store: ConfigurationStore
    _wait_ms: int
    _post: Callable[[Event], None]
    _update_vm_list: Callable[[tuple[Vm, ...], int], None]
    _last_load_ms: int = attrs.field(init=False, default=0)
    missed_updates: int = attrs.field(init=False, default=0)

    @property
    def is_watcher(self) -> bool:
        """Return whether this VM is a watcher of its zone."""
        identity = self._core.state.identity
        alive = self._core.state.members.alive_in_zone(identity.zone)
        order = rendezvous_order(
            f'watch/{identity.zone}',
            (identity.name, *alive),
        )
        return identity.name in order[:_WATCHERS_PER_ZONE]

    async def load_once(self) -> None:
        """Read VM list and configuration once, ignoring platform errors."""
        with contextlib.suppress(*PLATFORM_ERRORS):
            await self._load_vm_list()
            await self._load_configuration()

    async def watch_configuration(self) -> None:
        """Watch the configuration until cancelled."""
        known: ConfigurationSnapshot | None = None
        while True:
            if not self.is_watcher:
                known = None
                await self._wait_before_retry()
                continue
            try:
                known = await self._next_snapshot(known)
            except PLATFORM_ERRORS:
                await self._wait_before_retry()

    async def poll_vm_list(self) -> None:
        """Poll the VM list until cancelled."""
        while True:
            await asyncio.sleep(jittered(self._rng, _VM_LIST_POLL_SECONDS))
            if not self.is_watcher:
                continue
            try:
                await self._load_vm_list()
            except PLATFORM_ERRORS:
                await self._wait_before_retry()

    async def _next_snapshot(
        self,
        known: ConfigurationSnapshot | None,
    ) -> ConfigurationSnapshot | None:
        since_load_ms = self._clock.now_ms() - self._last_load_ms
        if known is None or since_load_ms > _FULL_LOAD_INTERVAL_MS:
            loaded = await self._load_configuration()
            if known is not None and loaded.version > known.version:
                self.missed_updates += 1
            return loaded
        snapshot = await self._store.watch(known, self._wait_ms)
        self._publish(snapshot)
        return snapshot

    async def _load_configuration(self) -> ConfigurationSnapshot:
        snapshot = await self._store.load()
        self._last_load_ms = self._clock.now_ms()
        self._publish(snapshot)
        return snapshot

    async def _load_vm_list(self) -> None:
        requested_ms = self._clock.now_ms()
        self._update_vm_list(await self._platform.list_vms(), requested_ms)

    def _publish(self, snapshot: ConfigurationSnapshot) -> None:
        if snapshot.version:
            event = ConfigurationReceived(
                snapshot.configuration,
                snapshot.confirmed_ms,
            )
            self._post(event)

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(jittered(self._rng, _RETRY_DELAY_SECONDS))
