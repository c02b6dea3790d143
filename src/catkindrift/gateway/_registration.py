"""Registration of this entry VM and discovery of peers in the store."""

import asyncio
import logging
import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import PlatformAmbiguousError, PlatformUnavailableError
from catkindrift.gateway._entry_vm_records import EntryVmRecords
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._list_all import list_all
from catkindrift.jitter import jittered
from catkindrift.platform import (
    ENTRY_VM_KIND,
    StoreClient,
    StoreObject,
    encode_entry_vm,
)
from catkindrift.settings import GatewaySettings
from catkindrift.steering import Members

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND = 1000
_RETRY_SECONDS = 1.0
# Crashes that come close together share a write.
_COALESCING_SECONDS = 0.2
# Rediscovery finds VMs whose membership was lost, such as after a long network
# partition.
_REDISCOVERY_SECONDS = 60.0
# Records that are much older count as left behind by a removed VM.
_RENEWAL_MS = 3_600_000


@final
@attrs.define(eq=False, repr=False)
class Registration:
    """Writes this VM's record to the store and reads those of its peers.

    Each process writes once when it starts, after it has read what an earlier
    one wrote, then for crashes, each hour, and again while it does not hear all
    others. Liveness is tracked by heartbeats and needs no store calls.

    Args:
        clock: Source of time.
        client: Client of the store.
        settings: Name and addresses of this VM.
        heartbeats: Contacts the discovered peers.
        records: Records of all VMs.
        members: Entry VMs.
    """

    _clock: Clock
    _client: StoreClient
    _settings: GatewaySettings
    _heartbeats: Heartbeats
    _records: EntryVmRecords
    _members: Members
    _is_loaded: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    _is_changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)
    _renewal_due_ms: int = attrs.field(init=False, default=0)

    def load(self, found: tuple[StoreObject, ...]) -> None:
        """Apply a complete list of records, which lets this VM register."""
        self._records.apply_list(found)
        # VMs of the zone that start too have to know of each other soon.
        self._heartbeats.send_heartbeat(to_all_regions=True)
        self._is_loaded.set()

    def publish(self) -> None:
        """Write this VM's record again soon."""
        self._is_changed.set()

    async def run(self) -> None:
        """Register, then publish and rediscover peers until cancelled."""
        await self._is_loaded.wait()
        await self._write_with_retries()
        self._heartbeats.send_news()
        while True:
            await self._publish_or_rediscover()

    async def _publish_or_rediscover(self) -> None:
        wait_s = jittered(self._rng, _REDISCOVERY_SECONDS)
        try:
            # wait_for would lose a cancellation that comes with a change.
            async with asyncio.timeout(wait_s):
                await self._is_changed.wait()
        except TimeoutError:
            await self._discover_peers()
            is_due = self._clock.now_ms() >= self._renewal_due_ms
            if self._members.hears_all and not is_due:
                return
        await asyncio.sleep(_COALESCING_SECONDS)
        await self._write_with_retries()

    async def _write_with_retries(self) -> None:
        is_done = False
        while not is_done:
            try:
                is_done = await self._write()
            except (PlatformUnavailableError, PlatformAmbiguousError) as lost:
                _LOG.warning('write of own record; retrying: %s', lost)
                await asyncio.sleep(jittered(self._rng, _RETRY_SECONDS))

    async def _write(self) -> bool:
        self._is_changed.clear()
        await self._client.put(
            ENTRY_VM_KIND,
            self._settings.vm.name,
            encode_entry_vm(self._records.own_record()),
            self._timeout_s,
        )
        self._members.record_own_registration()
        self._renewal_due_ms = self._clock.now_ms() + _RENEWAL_MS
        return True

    async def _discover_peers(self) -> None:
        try:
            page = await list_all(self._client, ENTRY_VM_KIND, self._timeout_s)
        except PlatformUnavailableError as unavailable:
            _LOG.warning('discovery of entry VMs: %s', unavailable)
            return
        self._records.register(page.objects)

    @property
    def _timeout_s(self) -> float:
        limit_ms = self._settings.platform.call_timeout_ms
        return limit_ms / _MILLISECONDS_PER_SECOND
