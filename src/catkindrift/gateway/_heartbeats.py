"""Heartbeats and gossip between entry VMs over UDP."""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable, Sequence
from typing import final

import attrs
import msgspec

from catkindrift.clock import Clock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._heartbeat_contents import HeartbeatContents
from catkindrift.gateway._heartbeat_seeds import HeartbeatSeeds
from catkindrift.gateway._heartbeat_sender import HeartbeatSender
from catkindrift.gateway._log_sampler import LogSampler
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._zone_receivers import ZoneReceivers, sample
from catkindrift.gateway._zone_updates import ZoneUpdates
from catkindrift.steering import (
    MAX_DIRECT_MEMBERS,
    Heartbeat,
    LimitNotice,
    MemberFacts,
    Members,
    StoreNews,
    UpstreamLimits,
    UpstreamReachability,
)
from catkindrift.workspaces import QuotaMessage

_LOG = logging.getLogger(__name__)
# A VM counts as failed after several missed heartbeats.
_INTERVAL_SECONDS = 0.5
# Only every second heartbeat goes to other regions: that traffic is billed.
_ALL_REGIONS_EVERY = 2
# Receivers of one heartbeat in the own region and in all others, if there are
# more VMs than `MAX_DIRECT_MEMBERS`; they gossip the sender's state.
_NEAR_RECEIVERS = 6
_FAR_RECEIVERS = 3
_LOG_EVERY = 100


def _do_nothing() -> None:
    """Ignore updates where no other VM needs them."""


@final
@attrs.define(eq=False, repr=False)
class Heartbeats(asyncio.DatagramProtocol):
    """Sends heartbeats of this VM and receives those of other entry VMs.

    Datagrams may be lost, duplicated or reordered; the member count in each
    orders them.

    Args:
        clock: Source of time.
        members: Entry VMs.
        own_member: Record of this VM; each heartbeat increments its count.
        revisions: Returns the newest known store revision of each kind.
        crashes: Crashes to report to other VMs.
        health: Reachability of the store from this VM.
        limits: Limits of upstreams, to report to other VMs.
        reachability: When this VM has reached an upstream.
        on_heartbeat: Called with each heartbeat received.
        on_update: Called when others of the zone need updates at once.
        relayed_limits: Returns limits of upstreams that others have seen.
        store_news: Returns what this VM knows of the store.
    """

    _clock: Clock
    _members: Members
    _own_member: MemberFacts
    _revisions: Callable[[], dict[str, int]]
    _crashes: CrashWatch
    _health: StoreHealth
    _limits: UpstreamLimits
    _reachability: UpstreamReachability
    _on_heartbeat: Callable[[Heartbeat], None]
    on_update: Callable[[], None] = _do_nothing
    _relayed_limits: Callable[[], tuple[LimitNotice, ...]] = tuple
    _store_news: Callable[[], StoreNews] = StoreNews
    _has_been_ready: bool = attrs.field(init=False, default=False)
    _receivers: ZoneReceivers = attrs.field(init=False)
    _builder: HeartbeatContents = attrs.field(init=False)
    _seeds: HeartbeatSeeds = attrs.field(init=False, factory=HeartbeatSeeds)
    _sender: HeartbeatSender = attrs.field(init=False, factory=HeartbeatSender)
    _decoder: msgspec.msgpack.Decoder[Heartbeat] = attrs.field(init=False)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)
    _malformed: LogSampler = attrs.field(
        init=False, factory=lambda: LogSampler(_LOG_EVERY)
    )

    def __attrs_post_init__(self) -> None:
        """Create the decoder and the choices by zone."""
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        own = attrs.evolve(self._own_member, by_zone=True)
        self._own_member = own
        self._receivers = ZoneReceivers(self._members, own, lambda: self._rng)
        self._builder = HeartbeatContents(
            self._members,
            ZoneUpdates(self._members, own, lambda: self._rng),
            self._revisions,
            self._crashes,
            self._health,
            self._limits,
            self._reachability,
            self._relayed_limits,
            lambda: self._rng,
            self._store_news,
        )

    @property
    def own_member(self) -> MemberFacts:
        """The current record of this VM."""
        return self._own_member

    @property
    def has_been_ready(self) -> bool:
        """Whether directory responses may have contained this VM."""
        return self._has_been_ready

    def add_seed(self, address: str) -> None:
        """Send heartbeats to `address` until one from it is received."""
        if address and address != self._own_member.peers:
            self._seeds.add(address)

    def set_ready(
        self, *, is_ready: bool, reaches_upstreams: bool = True
    ) -> None:
        """Update readiness and, if it changed, tell all other VMs at once."""
        own = self._own_member
        self._has_been_ready = self._has_been_ready or is_ready
        if (own.is_ready, own.reaches_upstreams) != (
            is_ready,
            reaches_upstreams,
        ):
            self._own_member = attrs.evolve(
                own, is_ready=is_ready, reaches_upstreams=reaches_upstreams
            )
            if self._receivers.is_active:
                self.send_news()
            else:
                self._send_to({each.peers for each in self._members.facts})

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        for number in itertools.count():
            self.send_heartbeat(to_all_regions=number % _ALL_REGIONS_EVERY == 0)
            await asyncio.sleep(_INTERVAL_SECONDS)

    def send_heartbeat(self, *, to_all_regions: bool) -> None:
        """Send one heartbeat.

        Args:
            to_all_regions: Whether VMs of other regions receive it too.
        """
        if self._receivers.is_active:
            self._send_by_zone(self._receivers.digest_receivers())
            return
        known = self._members.facts
        own = self._own_member.region
        chosen = [each for each in known if each.region == own]
        far = [each for each in known if each.region != own]
        if len(known) > MAX_DIRECT_MEMBERS:
            chosen = sample(self._rng, chosen, _NEAR_RECEIVERS)
            far = sample(self._rng, far, _FAR_RECEIVERS)
        if to_all_regions:
            chosen += far
        self._send_to_all(chosen)

    def send_news(self, *, is_passed_on: bool = False) -> None:
        """Send a heartbeat to more VMs of all regions than usual.

        Args:
            is_passed_on: Whether the updates come from another VM, which has
                told other zones itself.
        """
        if self._receivers.is_active:
            far = () if is_passed_on else self._receivers.update_receivers()
            self._send_by_zone(far)
            return
        known = self._members.facts
        self._send_to_all(sample(self._rng, known, MAX_DIRECT_MEMBERS))

    def send_quota_message(
        self, message: QuotaMessage, names: frozenset[str]
    ) -> int:
        """Send a message on quotas, with little else, to some VMs.

        Args:
            message: The message.
            names: Names of the receivers.

        Returns:
            The number of receivers that are known.
        """
        receivers = {
            each.peers for each in self._members.facts if each.name in names
        }
        self._own_member = self._own_member.next_heartbeat()
        heartbeat = Heartbeat(
            self._own_member,
            (),
            self._revisions(),
            answer_age_ms=self._health.answer_age_ms,
            reached_age_ms=self._reachability.reached_age_ms,
            quota=message,
        )
        self._sender.send(heartbeat, receivers)
        return len(receivers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._sender.transport = transport  # type: ignore[assignment]

    def datagram_received(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Process a heartbeat; log and ignore a malformed datagram."""
        try:
            heartbeat = self._decoder.decode(datagram)
        except msgspec.DecodeError as malformed:
            if self._malformed.is_due():
                _LOG.warning(
                    'ignored malformed heartbeat from %s: %s', addr, malformed
                )
            return
        before = self._builder.known_updates
        is_new = self._members.record_heartbeat(heartbeat)
        self._seeds.discard(heartbeat.sender.peers)
        self._on_heartbeat(heartbeat)
        is_active = self._receivers.is_active
        reply = self._builder.reply(
            self._own_member, heartbeat, is_new=is_new, by_zone=is_active
        )
        if reply:
            self._sender.send(reply, (heartbeat.sender.peers,))
        self._spread(heartbeat)
        if is_active and before != self._builder.known_updates:
            self.on_update()

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; missing heartbeats reveal a failed peer."""

    def _spread(self, heartbeat: Heartbeat) -> None:
        """Pass a digest of another zone on in the own zone."""
        own = self._own_member
        now_ms = self._clock.now_ms()
        if heartbeat.spread_zone:
            self._receivers.record_spread(heartbeat.spread_zone, now_ms)
        zone = heartbeat.sender.zone
        if not heartbeat.signs or zone == own.zone:
            return
        receivers = self._receivers.spread_receivers(zone, now_ms)
        if receivers:
            self._sender.send(
                self._builder.spread(own, zone),
                [each.peers for each in receivers],
            )

    def _send_by_zone(self, far: Sequence[MemberFacts]) -> None:
        """Send to some VMs of the own zone, and a digest of it to others."""
        self._own_member = self._own_member.next_heartbeat()
        own = self._own_member
        near = {each.peers for each in self._receivers.zone_receivers()}
        near.update(self._seeds.chosen(self._rng, self._members.alive()))
        self._sender.send(self._builder.by_zone(own, is_digest=False), near)
        if far:
            self._sender.send(
                self._builder.by_zone(own, is_digest=True),
                [each.peers for each in far],
            )

    def _send_to_all(self, chosen: Sequence[MemberFacts]) -> None:
        """Send to VMs, and to addresses that nothing is known of."""
        seeds = self._seeds.chosen(self._rng, self._members.alive())
        self._send_to({*(each.peers for each in chosen), *seeds})

    def _send_to(self, addresses: set[str]) -> None:
        self._own_member = self._own_member.next_heartbeat()
        self._sender.send_whole(
            self._builder.direct(self._own_member), addresses
        )
