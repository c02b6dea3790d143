"""Heartbeats that entry VMs send to each other."""

from typing import NamedTuple, final

import attrs
import xxhash

from catkindrift.blame import Cleared, Crash
from catkindrift.steering._limit_notice import LimitNotice
from catkindrift.workspaces import QuotaMessage


@final
@attrs.frozen
class MemberFacts:
    """Location, addresses and readiness of an entry VM.

    Args:
        name: Name of the VM.
        started_ms: Wall time of the process start; identifies the process
            across restarts.
        zone: Availability zone.
        region: Region of that zone.
        callers: Address for callers, ``IP:port``.
        peers: Address for other entry VMs, ``IP:port``.
        is_ready: Whether callers may be sent to it.
        count: Sequence number of the heartbeat within one process.
        reaches_upstreams: Whether it is not cut off from all upstreams.
        by_zone: Whether it reads packed signs of life, and so needs no
            heartbeats from VMs of other zones; False from builds that don't
            send it.
    """

    name: str
    started_ms: int
    zone: str
    region: str
    callers: str
    peers: str
    is_ready: bool
    count: int
    reaches_upstreams: bool = True
    by_zone: bool = False

    @property
    def can_serve(self) -> bool:
        """Whether the VM takes requests and reaches upstreams."""
        return self.is_ready and self.reaches_upstreams

    def next_heartbeat(self) -> 'MemberFacts':
        """Return the facts with the number of the next heartbeat."""
        return attrs.evolve(self, count=self.count + 1)

    @property
    def process(self) -> int:
        """Hash of the name and the start of the process, 64 bits."""
        identity = f'{self.name}/{self.started_ms}'
        return int(xxhash.xxh3_64_intdigest(identity.encode()))

    @property
    def version(self) -> tuple[int, int]:
        """Version of the facts about one VM; newer facts compare greater."""
        return (self.started_ms, self.count)


@final
class Sighting(NamedTuple):
    """Sign of life of an entry VM whose facts the receiver knows.

    It is encoded as a short list, so that one heartbeat can carry many.

    Args:
        process: Hash of the VM's name and the start of its process.
        sequence: Number of its newest heartbeat that is known.
        age_ms: Time since it has sent that one.
        is_ready: Whether callers may be sent to it.
        reaches_upstreams: Whether it is not cut off from all upstreams.
    """

    process: int
    sequence: int
    age_ms: int
    is_ready: bool
    reaches_upstreams: bool

    @classmethod
    def of(cls, facts: MemberFacts, age_ms: int) -> 'Sighting':
        """Return a sign of life of a VM.

        Args:
            facts: What is known of it.
            age_ms: Time since it has sent that.
        """
        return cls(
            facts.process,
            facts.count,
            age_ms,
            facts.is_ready,
            facts.reaches_upstreams,
        )

    def newer_facts(self, known: MemberFacts) -> MemberFacts | None:
        """Return the facts with this news, None if it brings none.

        Args:
            known: Facts about the same process.
        """
        if self.sequence <= known.count:
            return None
        return MemberFacts(
            known.name,
            known.started_ms,
            known.zone,
            known.region,
            known.callers,
            known.peers,
            self.is_ready,
            self.sequence,
            self.reaches_upstreams,
            known.by_zone,
        )


@final
@attrs.frozen
class StoreNews:
    """What an entry VM knows of the platform's store, besides revisions.

    Args:
        confirmed_ages_ms: By kind, time since the store held nothing newer
            than the sender's revision.
        silence_age_ms: Time since some VM found that its connections to the
            store were silent; None if long ago.
        silence_id: Id of the notice of that; 0 without one.
    """

    confirmed_ages_ms: dict[str, int] = attrs.field(factory=dict)
    silence_age_ms: int | None = None
    silence_id: int = 0


@final
@attrs.frozen
class Heartbeat:
    """Datagram that an entry VM sends to its peers.

    Args:
        sender: Facts about the sender.
        heard: Facts about some of the other entry VMs that are alive.
        revisions: Newest store revision known to the sender, by kind.
        crashes: Recent crashes that the sender knows of.
        answer_age_ms: Age of the newest response of the platform's store to
            the sender itself; None if it has had none.
        cleared: Recent responses to suspect requests.
        limits: Limits of upstreams that the sender has seen itself.
        unheard: Names of some VMs that the sender knows from the store only,
            with the ages of their records in milliseconds.
        reached_age_ms: Time since the sender has reached an upstream; None if
            it has not, or is cut off from all.
        heard_ages_ms: Time since each VM of `heard` has sent these facts.
        sightings: Signs of life of other VMs; none from builds without them.
        signs: Packed signs of life, as `pack_signs` writes them, to VMs that
            read them.
        wanted: Keys of processes whose facts the sender needs.
        relayed_limits: Limits of upstreams that the sender has from others.
        spread_zone: Other zone whose signs of life the sender spreads in its
            own; empty if it spreads none.
        store: What the sender knows of the store; nothing from builds that
            don't tell it.
        quota: Message on the quotas of workspaces, if any.
    """

    sender: MemberFacts
    heard: tuple[MemberFacts, ...]
    revisions: dict[str, int]
    crashes: tuple[Crash, ...] = ()
    answer_age_ms: int | None = None
    cleared: tuple[Cleared, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    unheard: tuple[tuple[str, int], ...] = ()
    reached_age_ms: int | None = None
    heard_ages_ms: tuple[int, ...] = ()
    sightings: tuple[Sighting, ...] = ()
    signs: bytes = b''
    wanted: tuple[int, ...] = ()
    relayed_limits: tuple[LimitNotice, ...] = ()
    spread_zone: str = ''
    store: StoreNews = StoreNews()
    quota: QuotaMessage | None = None
