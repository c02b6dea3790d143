"""Makes this entry VM known through the platform's store."""

import asyncio
import random
from typing import final

import attrs
from absl import logging

from catkindrift.errors import PlatformAmbiguousError, PlatformUnavailableError
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._list_all import list_all
from catkindrift.limits import jittered
from catkindrift.platform import (
    ENTRY_VM_KIND,
    StoreClient,
    decode_entry_vm,
    encode_entry_vm,
)
from catkindrift.settings import GatewaySettings

_MILLISECONDS_PER_SECOND = 1000
_RETRY_SECONDS = 1.0
# A VM that the others have lost, as after a long cut, is found again.
_REDISCOVERY_SECONDS = 60.0


@final
@attrs.define(eq=False)
class Registration:
    """Writes this VM's address and reads those of the others.

    Each process writes once; from then on heartbeats tell who is alive, so
    that the store is not asked.

    Args:
        client: The store.
        settings: Name and addresses of this VM.
        heartbeats: Tells the others.
    """

    _client: StoreClient
    _settings: GatewaySettings
    _heartbeats: Heartbeats
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    async def run(self) -> None:
        """Register, then look for others from time to time."""
        await self._register_with_retries()
        while True:
            await asyncio.sleep(jittered(self._rng, _REDISCOVERY_SECONDS))
            try:
                await self._discover_peers()
            except PlatformUnavailableError as unavailable:
                logging.warning('entry VMs: %s', unavailable)

    async def _register_with_retries(self) -> None:
        is_done = False
        while not is_done:
            try:
                is_done = await self._register()
            except (PlatformUnavailableError, PlatformAmbiguousError) as lost:
                logging.warning('registration: %s', lost)
                await asyncio.sleep(jittered(self._rng, _RETRY_SECONDS))

    async def _register(self) -> bool:
        await self._client.put(
            ENTRY_VM_KIND,
            self._settings.vm.name,
            encode_entry_vm(self._settings.listen.peers),
            self._timeout_s,
        )
        await self._discover_peers()
        self._heartbeats.send_heartbeat(to_all_regions=True)
        return True

    async def _discover_peers(self) -> None:
        page = await list_all(self._client, ENTRY_VM_KIND, self._timeout_s)
        for each in page.objects:
            self._heartbeats.add_seed(decode_entry_vm(each))

    @property
    def _timeout_s(self) -> float:
        limit_ms = self._settings.platform.call_timeout_ms
        return limit_ms / _MILLISECONDS_PER_SECOND
