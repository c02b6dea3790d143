"""Heartbeats and gossip between entry VMs over UDP."""

import asyncio
import itertools
import logging
import operator
import random
from collections.abc import Callable, Sequence
from typing import TypeVar, final

import attrs
import msgspec

from catkindrift.clock import Clock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._log_sampler import LogSampler
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.settings import Endpoint
from catkindrift.steering import (
    MAX_DIRECT_MEMBERS,
    Heartbeat,
    MemberFacts,
    Members,
    Sighting,
    UpstreamLimits,
    UpstreamReachability,
)
from catkindrift.workspaces import QuotaNews

_LOG = logging.getLogger(__name__)
_Item = TypeVar('_Item')
# A VM counts as failed after several missed heartbeats.
_INTERVAL_SECONDS = 0.5
# Only every second heartbeat goes to other regions: that traffic is billed.
_ALL_REGIONS_EVERY = 2
# Receivers of one heartbeat in the own region and in all others, if there are
# more VMs than `MAX_DIRECT_MEMBERS`; they gossip the sender's state.
_NEAR_RECEIVERS = 6
_FAR_RECEIVERS = 3
# Signs of life of others in one heartbeat; each takes about 17 bytes.
_MAX_SIGHTINGS = 40
# They are the newest of so many times more: those are news to most receivers,
# and the random part keeps any VM from being left out.
_SIGHTING_CHOICES = 2
# Records of other VMs that one heartbeat carries.
_MAX_GOSSIPED_MEMBERS = 2
# Names of VMs that are known from the store only; each takes about 30 bytes.
_MAX_UNHEARD_MEMBERS = 4
_LOG_EVERY = 100
# Fields of a heartbeat that carries no news on quotas.
_USUAL_FIELDS = tuple(
    each.name for each in attrs.fields(Heartbeat) if each.name != 'quota'
)


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
    _endpoints: dict[str, tuple[str, int]] = attrs.field(
        init=False, factory=dict
    )
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
    _malformed: LogSampler = attrs.field(
        init=False, factory=lambda: LogSampler(_LOG_EVERY)
    )

    def __attrs_post_init__(self) -> None:
        """Create the decoder."""
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)

    @property
    def own_member(self) -> MemberFacts:
        """The current record of this VM."""
        return self._own_member

    def add_seed(self, address: str) -> None:
        """Send heartbeats to `address` until one from it is received."""
        if address and address != self._own_member.peers:
            self._seeds.add(address)

    def set_ready(
        self, *, is_ready: bool, reaches_upstreams: bool = True
    ) -> None:
        """Update readiness and, if it changed, tell all other VMs at once."""
        own = self._own_member
        if (own.is_ready, own.reaches_upstreams) != (
            is_ready,
            reaches_upstreams,
        ):
            self._own_member = attrs.evolve(
                own, is_ready=is_ready, reaches_upstreams=reaches_upstreams
            )
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
        known = self._members.facts
        own = self._own_member.region
        chosen = [each for each in known if each.region == own]
        far = [each for each in known if each.region != own]
        if len(known) > MAX_DIRECT_MEMBERS:
            chosen = _sample(self._rng, chosen, _NEAR_RECEIVERS)
            far = _sample(self._rng, far, _FAR_RECEIVERS)
        if to_all_regions:
            chosen += far
        self._send_to_all(chosen)

    def send_news(self) -> None:
        """Send a heartbeat to more VMs of all regions than usual."""
        known = self._members.facts
        self._send_to_all(_sample(self._rng, known, MAX_DIRECT_MEMBERS))

    def send_quota_news(self, news: QuotaNews, names: frozenset[str]) -> int:
        """Send news on quotas, with little else, to some VMs.

        Args:
            news: The news.
            names: Names of the receivers.

        Returns:
            The number of receivers that are known.
        """
        receivers = {
            each.peers for each in self._members.facts if each.name in names
        }
        self._count_heartbeat()
        heartbeat = Heartbeat(
            self._own_member,
            (),
            self._revisions(),
            answer_age_ms=self._health.answer_age_ms,
            reached_age_ms=self._reachability.reached_age_ms,
            quota=news,
        )
        datagram = self._encoder.encode(heartbeat)
        for address in receivers:
            self._send(datagram, address)
        return len(receivers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = transport  # type: ignore[assignment]

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
        is_new = self._members.record_heartbeat(heartbeat)
        self._seeds.discard(heartbeat.sender.peers)
        self._on_heartbeat(heartbeat)
        if is_new:
            # Reply at once: a process that has just started has no crash
            # records yet.
            self._send(
                self._encode(self._build_heartbeat()),
                heartbeat.sender.peers,
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; missing heartbeats reveal a failed peer."""

    def _send_to(self, addresses: set[str]) -> None:
        self._count_heartbeat()
        datagram = self._encode(self._build_heartbeat())
        for address in addresses:
            self._send(datagram, address)

    def _count_heartbeat(self) -> None:
        self._own_member = attrs.evolve(
            self._own_member, count=self._own_member.count + 1
        )

    def _encode(self, heartbeat: Heartbeat) -> bytes:
        """Encode a heartbeat without news on quotas, as before these."""
        return self._encoder.encode(
            {name: getattr(heartbeat, name) for name in _USUAL_FIELDS}
        )

    def _build_heartbeat(self) -> Heartbeat:
        members = self._members
        alive = members.alive()
        heard = _sample(self._rng, alive, _MAX_GOSSIPED_MEMBERS)
        sightings: tuple[Sighting, ...] = ()
        if len(alive) > MAX_DIRECT_MEMBERS:
            heard = heard[:1]
            sightings = _sightings(self._rng, members, alive)
        unheard = members.unheard_records
        return Heartbeat(
            self._own_member,
            tuple(heard),
            self._revisions(),
            self._crashes.reports.next_crashes(),
            self._health.answer_age_ms,
            self._crashes.reports.newest_cleared(),
            self._limits.notices(),
            tuple(_sample(self._rng, unheard, _MAX_UNHEARD_MEMBERS)),
            self._reachability.reached_age_ms,
            tuple(members.age_ms(each.name) for each in heard),
            sightings,
        )

    def _send_to_all(self, chosen: Sequence[MemberFacts]) -> None:
        """Send to VMs, and to addresses that nothing is known of."""
        if self._seeds:
            alive = self._members.alive()
            self._seeds.difference_update(each.peers for each in alive)
        self._send_to({*(each.peers for each in chosen), *self._seeds})

    def _send(self, datagram: bytes, address: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        receiver = self._endpoints.get(address)
        if receiver is None:
            endpoint = Endpoint.parse(address)
            receiver = (endpoint.host, endpoint.port)
            self._endpoints[address] = receiver
        self._transport.sendto(datagram, receiver)


def _sample(
    rng: random.Random, known: Sequence[_Item], count: int
) -> list[_Item]:
    """Return `count` random items, or all if there are fewer."""
    return rng.sample(known, min(len(known), count))


def _sightings(
    rng: random.Random, members: Members, alive: Sequence[MemberFacts]
) -> tuple[Sighting, ...]:
    """Return signs of life of some VMs, the newest of those chosen."""
    seen = [
        Sighting.of(each, members.age_ms(each.name))
        for each in _sample(rng, alive, _MAX_SIGHTINGS * _SIGHTING_CHOICES)
    ]
    seen.sort(key=operator.attrgetter('age_ms'))
    return tuple(seen[:_MAX_SIGHTINGS])
