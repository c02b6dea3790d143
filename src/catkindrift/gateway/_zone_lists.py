"""First listings of objects from other VMs of the zone."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.errors import ZoneWatchError
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.gateway._zone_message import ZoneList
from catkindrift.rendezvous import rendezvous_order
from catkindrift.settings import VmSettings
from catkindrift.steering import MemberFacts, Members

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND = 1000
# A start may take this much longer than with a list from the store.
_LONGEST_S = 0.3
# Part of it in which VMs that start together learn of each other.
_DISCOVERY_S = 0.2
_STEP_S = 0.01
# Ready VMs to ask before the store is asked.
_MAX_ASKED = 2


@final
@attrs.define(eq=False, repr=False)
class ZoneLists:
    """Fetches lists from VMs of the zone that have read them already.

    VMs that start together agree on the first of them by hashing, which reads
    the store for all.

    Args:
        members: Entry VMs.
        vm: Name and zone of this VM.
        min_vms: VMs that a zone needs to share lists.
        max_age_ms: Longest time since a list was current; the store keeps
            changes for about as long.
        is_discovered: Returns whether the records of entry VMs are read.
    """

    _members: Members
    _vm: VmSettings
    _min_vms: int
    _max_age_ms: int
    _is_discovered: Callable[[], bool]

    async def fetch(self, kind: str, newest_revision: int) -> ZoneList | None:
        """Return the objects of a kind, None to ask the store.

        Args:
            kind: Kind of the objects.
            newest_revision: Revision that the list must have at least.
        """
        try:
            async with asyncio.timeout(_LONGEST_S):
                return await self._fetch(kind, newest_revision)
        except TimeoutError:
            _LOG.info('no VM of the zone gave a list of %s in time', kind)
            return None

    async def _fetch(self, kind: str, newest: int) -> ZoneList | None:
        peers = await self._discover()
        if len(peers) + 1 < self._min_vms:
            return None
        ready = [each for each in peers if each.is_ready]
        addresses = {each.name: each.peers for each in ready or peers}
        if ready:
            order = rendezvous_order(kind, addresses)[:_MAX_ASKED]
            for name in order:
                found = await _ask(addresses[name], kind, 0)
                if self._is_usable(found, newest):
                    return found
            return None
        addresses[self._vm.name] = ''
        first = addresses[rendezvous_order(kind, addresses)[0]]
        found = await _ask(first, kind, _LONGEST_S) if first else None
        return found if self._is_usable(found, newest) else None

    def _is_usable(self, found: ZoneList | None, newest: int) -> bool:
        if found is None or found.age_ms > self._max_age_ms:
            return False
        return found.page.revision >= newest

    async def _discover(self) -> list[MemberFacts]:
        """Return the VMs of the zone that are heard, ready ones if any."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + _DISCOVERY_S
        peers = self._peers()
        while loop.time() < ends_s and not self._is_known(peers):
            await asyncio.sleep(_STEP_S)
            peers = self._peers()
        return peers

    def _peers(self) -> list[MemberFacts]:
        return [
            each for each in self._members.alive() if each.zone == self._vm.zone
        ]

    def _is_known(self, peers: list[MemberFacts]) -> bool:
        """Return whether waiting for heartbeats brings nothing more."""
        has_ready = any(each.is_ready for each in peers)
        if has_ready and len(peers) + 1 >= self._min_vms:
            return True
        is_small = len(self._members.names) < self._min_vms
        return self._is_discovered() and (is_small or self._members.hears_all)


async def _ask(address: str, kind: str, wait_s: float) -> ZoneList | None:
    client = ZoneClient(address)
    wait_ms = round(wait_s * _MILLISECONDS_PER_SECOND)
    with contextlib.ExitStack() as stack:
        stack.callback(client.close)
        stack.enter_context(contextlib.suppress(ZoneWatchError))
        return await client.list(kind, wait_ms, _LONGEST_S)
    return None
