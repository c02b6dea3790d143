"""Heartbeats between entry VMs, over UDP."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import final

import attrs
import msgspec
from absl import logging

from catkindrift.clock import Clock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.settings import Endpoint
from catkindrift.steering import Heartbeat, MemberFacts, Members

# A VM counts as silent after several of these.
_INTERVAL_SECONDS = 0.5
# VMs of other regions are told every second time: those bytes are paid for.
_ALL_REGIONS_EVERY = 2
# Receivers of one heartbeat; the rest hears of the sender from these.
_MAX_RECEIVERS = 16
# Other VMs that a heartbeat tells of.
_MAX_GOSSIPED_MEMBERS = 2


@final
@attrs.define(eq=False)
class Heartbeats(asyncio.DatagramProtocol):
    """Tells other entry VMs of this one and learns from theirs.

    Datagrams may be lost or doubled; each is newer or older by its count.

    Args:
        clock: Source of time.
        members: Entry VMs.
        own: Facts about this VM; the count is set here.
        revisions: Returns the store revisions that this VM knows.
        crashes: Tells of crashes that this VM knows.
        health: Whether the store answers this VM.
        on_heartbeat: Takes what another VM sent.
    """

    _clock: Clock
    _members: Members
    _own_member: MemberFacts
    _revisions: Callable[[], dict[str, int]]
    _crashes: CrashWatch
    _health: StoreHealth
    _on_heartbeat: Callable[[Heartbeat], None]
    _seeds: set[str] = attrs.field(init=False, factory=set)
    _transport: asyncio.DatagramTransport | None = attrs.field(
        init=False,
        default=None,
    )
    _encoder: msgspec.msgpack.Encoder = attrs.field(
        init=False,
        factory=msgspec.msgpack.Encoder,
    )
    _decoder: msgspec.msgpack.Decoder[Heartbeat] = attrs.field(init=False)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Prepare the decoder."""
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)

    @property
    def own_member(self) -> MemberFacts:
        """Return the newest facts about this VM."""
        return self._own_member

    def add_seed(self, address: str) -> None:
        """Tell a VM that may not know this one, until it is heard."""
        if address and address != self._own_member.peers:
            self._seeds.add(address)

    def set_ready(self, *, is_ready: bool) -> None:
        """Tell all others at once when readiness changes."""
        if self._own_member.is_ready != is_ready:
            self._own_member = attrs.evolve(self._own_member, is_ready=is_ready)
            self.send_heartbeat(to_all_regions=True)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        for number in itertools.count():
            self.send_heartbeat(to_all_regions=number % _ALL_REGIONS_EVERY == 0)
            await asyncio.sleep(_INTERVAL_SECONDS)

    def send_heartbeat(self, *, to_all_regions: bool) -> None:
        """Send one heartbeat, to VMs of other regions only if it is for all."""
        self._own_member = attrs.evolve(
            self._own_member, count=self._own_member.count + 1
        )
        datagram = self._encoder.encode(self._build_heartbeat())
        for address in self._receivers(to_all_regions=to_all_regions):
            self._send(datagram, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Learn from a heartbeat; what cannot be read is passed over."""
        try:
            heartbeat = self._decoder.decode(datagram)
        except msgspec.DecodeError as malformed:
            logging.log_every_n(
                logging.WARNING,
                'heartbeat from %s: %s',
                100,
                addr,
                malformed,
            )
            return
        is_new = self._members.is_new_process(heartbeat.sender)
        self._members.record_heartbeat(heartbeat)
        self._seeds.discard(heartbeat.sender.peers)
        self._on_heartbeat(heartbeat)
        if is_new:
            # A process that has just started knows of no crash.
            self._send(
                self._encoder.encode(self._build_heartbeat()),
                heartbeat.sender.peers,
            )

    def error_received(self, exc: Exception) -> None:
        """Pass over refused datagrams; silence is noticed anyway."""

    def _build_heartbeat(self) -> Heartbeat:
        alive = self._members.alive()
        gossiped = self._rng.sample(
            alive, min(len(alive), _MAX_GOSSIPED_MEMBERS)
        )
        return Heartbeat(
            self._own_member,
            tuple(gossiped),
            self._revisions(),
            self._crashes.next_crashes(),
            self._health.answer_age_ms,
            self._crashes.reports.newest_cleared(),
        )

    def _receivers(self, *, to_all_regions: bool) -> set[str]:
        known = self._members.facts
        near = [
            each for each in known if each.region == self._own_member.region
        ]
        chosen = list(known) if to_all_regions else near
        if len(chosen) > _MAX_RECEIVERS:
            chosen = self._rng.sample(chosen, _MAX_RECEIVERS)
        receivers = {each.peers for each in chosen}
        receivers.update(self._seeds)
        return receivers

    def _send(self, datagram: bytes, address: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        endpoint = Endpoint.parse(address)
        self._transport.sendto(datagram, (endpoint.host, endpoint.port))
