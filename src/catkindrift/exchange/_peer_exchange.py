"""Client side of the exchange of state between entry VMs."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import (
    ConfigurationReceived,
    EntryCore,
    Event,
    RecordReceived,
)
from catkindrift.domain import Configuration, Vm, decode_json
from catkindrift.peers import (
    PEER_CALL_ERRORS,
    PeerAddress,
    PeerClient,
    record_from_wire,
    record_to_wire,
)
from catkindrift.peers.protocol import peers_pb2
from catkindrift.watching import VmListCache

# Peers of other zones per round. With fewer addresses than this in total, the
# seeds are contacted too.
_MAX_REMOTE_PEERS = 2


@final
@attrs.define(eq=False, repr=False)
class PeerExchange:
    """Exchanges records, configuration and VM list with other entry VMs.

    Each round contacts all entry VMs of the own zone and a few random ones of
    other zones, so every record reaches every VM within a few rounds. Requests
    carry the versions already known, which keeps replies small.

    Args:
        core: The decision core.
        clock: Source of time.
        rng: Source of randomness for the choice of peers in other zones.
        client: Calls other entry VMs.
        seeds: Addresses to contact while too few peers are known.
        vm_list: The VM list, sent to peers and updated from them.
        post: Handles an event on the loop.
    """

    _core: EntryCore
    _clock: Clock
    _rng: random.Random
    _client: PeerClient
    _seeds: tuple[PeerAddress, ...]
    _vm_list: VmListCache
    _post: Callable[[Event], None]
    _bootstrap_newest: Configuration | None = attrs.field(
        init=False, default=None
    )

    async def bootstrap(self) -> None:
        """Fetch the newest configuration from all reachable entry VMs.

        The configuration is applied only after all replies have arrived: one
        of them may show that this VM had a newer one before it restarted.
        """
        self._bootstrap_newest = Configuration()
        await self.publish()
        newest = self._bootstrap_newest
        self._bootstrap_newest = None
        if newest.revision:
            self._post(ConfigurationReceived(newest))

    async def run_round(self) -> None:
        """Exchange with all peers of the own zone and a few of others."""
        await self._exchange_all(self._targets())

    async def publish(self) -> None:
        """Exchange with all known entry VMs."""
        await self._exchange_all(self._addresses(self._peers()))

    async def _exchange_all(self, targets: Iterable[PeerAddress]) -> None:
        requested_ms = self._clock.now_ms()
        request = self._request()
        await asyncio.gather(
            *(
                self._exchange_with(target, request, requested_ms)
                for target in targets
            ),
        )

    async def _exchange_with(
        self,
        target: PeerAddress,
        request: peers_pb2.ExchangeRequest,
        requested_ms: int,
    ) -> None:
        try:
            reply = await self._client.exchange(target, request)
        except PEER_CALL_ERRORS:
            return
        for index, message in enumerate(reply.records):
            record = record_from_wire(message)
            self._post(
                RecordReceived(record, requested_ms, is_direct_reply=not index)
            )
        if reply.configuration:
            self._handle_configuration(
                decode_json(reply.configuration, Configuration)
            )
        if reply.vm_list:
            vms = decode_json(reply.vm_list, tuple[Vm, ...])
            self._vm_list.update(vms, requested_ms - reply.vm_list_age_ms)

    def _handle_configuration(self, configuration: Configuration) -> None:
        if self._bootstrap_newest is None:
            self._post(ConfigurationReceived(configuration))
        elif configuration.revision > self._bootstrap_newest.revision:
            self._bootstrap_newest = configuration

    def _request(self) -> peers_pb2.ExchangeRequest:
        return peers_pb2.ExchangeRequest(
            own=record_to_wire(self._core.own_record()),
            known=[
                peers_pb2.RecordVersion(
                    vm=record.vm.name,
                    incarnation=record.incarnation,
                    sequence=record.sequence,
                )
                for record in self._core.state.members.records()
            ],
            revision=self._core.state.active_config.revision,
            vm_list_age_ms=self._vm_list.age_ms,
        )

    def _targets(self) -> list[PeerAddress]:
        peers = self._peers()
        own_zone = self._core.state.identity.zone
        local = [vm for vm in peers if vm.zone == own_zone]
        remote = [vm for vm in peers if vm.zone != own_zone]
        chosen = self._rng.sample(remote, min(_MAX_REMOTE_PEERS, len(remote)))
        return self._addresses([*local, *chosen])

    def _peers(self) -> list[Vm]:
        members = self._core.state.members
        return [vm for vm in members.entry_vms() if vm.peer_port]

    def _addresses(self, vms: list[Vm]) -> list[PeerAddress]:
        found = [PeerAddress(vm.address, vm.peer_port) for vm in vms]
        if len(found) < _MAX_REMOTE_PEERS:
            own = self._core.state.identity.vm
            own_address = PeerAddress(own.address, own.peer_port)
            found.extend(
                seed
                for seed in self._seeds
                if seed not in found and seed != own_address
            )
        return found
