"""Runs the effects of the decision core."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, final

import attrs
from absl import logging

from catkindrift.callers import PendingDecisions, TimeLimits, UpstreamSender
from catkindrift.claims import ClaimStore
from catkindrift.clock import Clock
from catkindrift.core import (
    ClaimDecided,
    Dispatch,
    Effect,
    EndClaim,
    Event,
    GrantsReceived,
    LendGrants,
    LimitRequests,
    LogChange,
    ProbeUpstream,
    PublishRecord,
    Refuse,
    Replay,
    RequestGrants,
    TakeClaim,
    UpstreamProbed,
)
from catkindrift.domain import Vm
from catkindrift.limits import Grant
from catkindrift.peers import PEER_CALL_ERRORS, Members, PeerAddress, PeerClient
from catkindrift.peers.protocol import peers_pb2


@final
@attrs.define(eq=False, repr=False)
class EffectRunner:
    """Runs effects as calls and posts their results as events.

    `lent_grants` holds the grants of each `LendGrants` effect by correlation
    id until the reply to the peer takes them.

    Args:
        vm: This entry VM.
        clock: Source of time.
        members: Records of the other entry VMs, with their addresses.
        decisions: Passes decisions to the requests that wait for them.
        claims: Claims in the object store.
        peers: Client for calls of other entry VMs.
        upstreams: Client that probes upstreams.
        limits: Time limits of the requests in progress.
        publish: Schedules sending this VM's record to the others.
        post: Passes an event to the core, on the event loop.
    """

    _vm: Vm
    _clock: Clock
    _members: Members
    _decisions: PendingDecisions
    _claims: ClaimStore
    _peers: PeerClient
    _upstreams: UpstreamSender
    _limits: TimeLimits
    _publish: Callable[[], None]
    _post: Callable[[Event], None]
    _tasks: 'set[asyncio.Task[None]]' = attrs.field(init=False, factory=set)
    _claim_tasks: 'set[asyncio.Task[None]]' = attrs.field(
        init=False, factory=set
    )
    lent_grants: dict[int, tuple[Grant, ...]] = attrs.field(
        init=False, factory=dict
    )

    @property
    def unwritten_claims(self) -> int:
        """Return the number of claims whose state is not written yet."""
        return len(self._claim_tasks) + self._claims.pending_writes

    def run(self, effects: list[Effect]) -> None:
        """Run effects; start calls as background tasks."""
        for effect in effects:
            self._run_one(effect)

    def close(self) -> None:
        """Cancel the calls that have not ended."""
        for task in self._tasks:
            task.cancel()

    def _run_one(self, effect: Effect) -> None:
        match effect:
            case Dispatch() | Refuse() | Replay():
                self._decisions.resolve(effect.request_id, effect)
            case TakeClaim():
                self._spawn_for_claim(self._acquire_claim(effect))
            case EndClaim():
                self._spawn_for_claim(
                    self._claims.record_outcome(
                        effect.held, effect.state, effect.answer
                    ),
                )
            case RequestGrants():
                self._spawn(self._request_grants(effect))
            case LendGrants():
                self.lent_grants[effect.correlation_id] = effect.grants
            case ProbeUpstream():
                self._spawn(self._probe(effect.upstream))
            case PublishRecord():
                self._publish()
            case LimitRequests():
                self._limits.bring_forward(effect.due_ms)
            case LogChange():
                logging.info('%s: %s', self._vm.name, effect.message)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _spawn_for_claim(self, call: Coroutine[Any, Any, None]) -> None:
        task = self._spawn(call)
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)

    async def _acquire_claim(self, effect: TakeClaim) -> None:
        claim_result = await self._claims.acquire(
            effect.claim_name,
            effect.service,
            effect.content_digest,
            effect.time_limit_ms,
        )
        self._post(ClaimDecided(effect.request_id, claim_result))

    async def _request_grants(self, effect: RequestGrants) -> None:
        requested_ms = self._clock.now_ms()
        grants: tuple[Grant, ...] = ()
        record = self._members.record(effect.granter)
        if record is not None:
            address = PeerAddress(record.vm.address, record.vm.peer_port)
            request = peers_pb2.LendRequest(
                holder=self._vm.name,
                holder_zone=self._vm.zone,
                service=effect.service,
                slots=effect.slots,
            )
            try:
                reply = await self._peers.lend(address, request)
            except PEER_CALL_ERRORS:
                reply = peers_pb2.LendReply()
            grants = _decode_grants(reply, requested_ms)
        self._post(GrantsReceived(effect.granter, effect.service, grants))

    async def _probe(self, upstream: Vm) -> None:
        is_up = await self._upstreams.is_up(upstream)
        self._post(UpstreamProbed(upstream.name, is_up))


def _decode_grants(
    reply: peers_pb2.LendReply,
    requested_ms: int,
) -> tuple[Grant, ...]:
    """Return the grants of a reply; they expire relative to the request."""
    return tuple(
        Grant(
            grant.grant_id,
            reply.granter,
            grant.upstream,
            grant.slots,
            requested_ms + grant.life_ms,
        )
        for grant in reply.grants
    )
