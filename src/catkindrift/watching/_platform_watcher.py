"""Brings configuration and VM list from the platform to this zone."""

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
from catkindrift.limits import jittered
from catkindrift.plans import ConfigurationStore, SeenConfiguration
from catkindrift.routing import rendezvous_order
from catkindrift.store import Platform

PLATFORM_FAILURES = (
    PlatformUnavailableError,
    PlatformAmbiguousError,
    PlatformConflictError,
)
_WATCHERS_PER_ZONE = 2
_VM_LIST_SECONDS = 1.0
_PAUSE_SECONDS = 0.5
# A plain read this often notices a watch that has silently stopped.
_FULL_READ_MS = 10_000


@final
@attrs.define(eq=False)
class PlatformWatcher:
    """Watches the platform if this VM is one of the watchers of its zone.

    Watchers are chosen by rendezvous hashing over the VMs that are alive; the
    others learn from them. Two watchers a zone bound the waiting watches by
    the number of zones, not of VMs.

    Args:
        core: The decision core.
        clock: Source of time.
        rng: Source of jitter.
        platform: The platform with its budget.
        store: The configuration in the platform.
        wait_ms: Longest time that a watch waits.
        post: Handles an event on the loop.
        see_vms: Takes over a VM list and the time it was asked for.
    """

    _core: EntryCore
    _clock: Clock
    _rng: random.Random
    _platform: Platform
    _store: ConfigurationStore
    _wait_ms: int
    _post: Callable[[Event], None]
    _see_vms: Callable[[tuple[Vm, ...], int], None]
    _read_ms: int = attrs.field(init=False, default=0)
    missed_by_watch: int = attrs.field(init=False, default=0)

    @property
    def is_watcher(self) -> bool:
        """Return whether this VM watches for its zone."""
        identity = self._core.state.identity
        alive = self._core.state.members.alive_in_zone(identity.zone)
        order = rendezvous_order(
            f'watch/{identity.zone}',
            (identity.name, *alive),
        )
        return identity.name in order[:_WATCHERS_PER_ZONE]

    async def load_once(self) -> None:
        """Read configuration and VM list, as far as the platform answers."""
        with contextlib.suppress(*PLATFORM_FAILURES):
            await self._read_vms()
            await self._load()

    async def watch_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        known: SeenConfiguration | None = None
        while True:
            if not self.is_watcher:
                known = None
                await self._pause()
                continue
            try:
                known = await self._next(known)
            except PLATFORM_FAILURES:
                await self._pause()

    async def poll_vms(self) -> None:
        """Follow the VM list until cancelled."""
        while True:
            await asyncio.sleep(jittered(self._rng, _VM_LIST_SECONDS))
            if not self.is_watcher:
                continue
            try:
                await self._read_vms()
            except PLATFORM_FAILURES:
                await self._pause()

    async def _next(
        self,
        known: SeenConfiguration | None,
    ) -> SeenConfiguration | None:
        read_age_ms = self._clock.now_ms() - self._read_ms
        if known is None or read_age_ms > _FULL_READ_MS:
            loaded = await self._load()
            if known is not None and loaded.version > known.version:
                self.missed_by_watch += 1
            return loaded
        seen = await self._store.watch(known, self._wait_ms)
        self._show(seen)
        return seen

    async def _load(self) -> SeenConfiguration:
        seen = await self._store.load()
        self._read_ms = self._clock.now_ms()
        self._show(seen)
        return seen

    async def _read_vms(self) -> None:
        asked_ms = self._clock.now_ms()
        self._see_vms(await self._platform.list_vms(), asked_ms)

    def _show(self, seen: SeenConfiguration) -> None:
        if seen.version:
            event = ConfigurationReceived(seen.configuration, seen.confirmed_ms)
            self._post(event)

    async def _pause(self) -> None:
        await asyncio.sleep(jittered(self._rng, _PAUSE_SECONDS))
