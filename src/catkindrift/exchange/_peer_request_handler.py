"""Handling of requests from other entry VMs."""

import itertools
from collections.abc import Callable
from typing import Any, final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import EntryCore, Event, GrantsRequested, RecordReceived
from catkindrift.domain import encode_json
from catkindrift.limits import Grant
from catkindrift.peers import record_from_wire, record_to_wire
from catkindrift.peers.protocol import peers_pb2
from catkindrift.watching import NO_VM_LIST_AGE_MS, VmListCache

# A VM list is sent only if it is newer than the peer's by this much.
_MIN_VM_LIST_AGE_GAIN_MS = 500


@final
@attrs.define(eq=False, repr=False)
class PeerRequestHandler:
    """Returns the state that a peer lacks, and lends slots.

    Args:
        core: The decision core.
        clock: Source of time.
        vm_list: The VM list, for peers that cannot reach the platform.
        post: Handles an event on the loop.
        pop_issued_grants: Removes and returns the grants issued for a
            correlation ID.
    """

    _core: EntryCore
    _clock: Clock
    _vm_list: VmListCache
    _post: Callable[[Event], None]
    _pop_issued_grants: Callable[[int], tuple[Grant, ...]]
    _correlation_ids: Any = attrs.field(
        init=False,
        factory=lambda: itertools.count(1),
    )

    def exchange(
        self,
        request: peers_pb2.ExchangeRequest,
    ) -> peers_pb2.ExchangeReply:
        """Merge a peer's record and return the state that it lacks.

        A peer that has restarted also gets the record of its earlier process,
        from which it learns the revision that it had in force.
        """
        now_ms = self._clock.now_ms()
        record = record_from_wire(request.own)
        previous = self._core.state.members.record(record.vm.name)
        self._post(RecordReceived(record, now_ms, is_direct_reply=False))
        known = {
            version.vm: (version.incarnation, version.sequence)
            for version in request.known
        }
        known[record.vm.name] = record.version
        own = self._core.own_record()
        newer = [
            each
            for each in self._core.state.members.records()
            if each.version > known.get(each.vm.name, (0, 0))
        ]
        if previous and previous.incarnation != record.incarnation:
            newer.append(previous)
        reply = peers_pb2.ExchangeReply(
            records=[record_to_wire(each) for each in (own, *newer)],
        )
        self._add_configuration(reply, request.revision)
        self._add_vm_list(reply, request.vm_list_age_ms)
        return reply

    def lend(self, request: peers_pb2.LendRequest) -> peers_pb2.LendReply:
        """Lend slots to a peer and return the grants."""
        correlation_id = next(self._correlation_ids)
        self._post(
            GrantsRequested(
                correlation_id,
                request.holder,
                request.holder_zone,
                request.service,
                request.slots,
            ),
        )
        now_ms = self._clock.now_ms()
        return peers_pb2.LendReply(
            granter=self._core.state.identity.name,
            grants=[
                peers_pb2.Grant(
                    grant_id=grant.grant_id,
                    upstream=grant.upstream,
                    slots=grant.slots,
                    life_ms=grant.expires_ms - now_ms,
                )
                for grant in self._pop_issued_grants(correlation_id)
            ],
        )

    def _add_configuration(
        self,
        reply: peers_pb2.ExchangeReply,
        known_revision: int,
    ) -> None:
        configuration = self._core.state.active_config.configuration
        if configuration.revision > known_revision:
            reply.configuration = encode_json(configuration)

    def _add_vm_list(
        self,
        reply: peers_pb2.ExchangeReply,
        known_age_ms: int,
    ) -> None:
        age_ms = self._vm_list.age_ms
        if age_ms == NO_VM_LIST_AGE_MS:
            return
        if (
            known_age_ms == NO_VM_LIST_AGE_MS
            or age_ms + _MIN_VM_LIST_AGE_GAIN_MS < known_age_ms
        ):
            reply.vm_list = encode_json(self._vm_list.vms)
            reply.vm_list_age_ms = age_ms
