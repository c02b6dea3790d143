"""What a heartbeat of this VM says."""

import operator
import random
from collections.abc import Callable, Sequence
from typing import final

import attrs

from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._zone_receivers import sample
from catkindrift.gateway._zone_updates import ZoneUpdates
from catkindrift.steering import (
    MAX_DIRECT_MEMBERS,
    Heartbeat,
    LimitNotice,
    MemberFacts,
    Members,
    Sighting,
    StoreNews,
    UpstreamLimits,
    UpstreamReachability,
    process_key,
)

# Signs of life of others in one heartbeat; each takes about 17 bytes.
_MAX_SIGHTINGS = 40
# They are the newest of so many times more: those are new to most receivers,
# and the random part keeps any VM from being left out.
_SIGHTING_CHOICES = 2
# Records of other VMs that one heartbeat carries.
_MAX_GOSSIPED_MEMBERS = 2
# Names of VMs that are known from the store only; each takes about 30 bytes.
_MAX_UNHEARD_MEMBERS = 4
# Facts that one heartbeat asks for and answers with, about 160 bytes each.
_MAX_WANTED = 16


@final
@attrs.define(eq=False, repr=False)
class HeartbeatContents:
    """Builds the heartbeats of this VM.

    Args:
        members: Entry VMs.
        updates: Signs of life where membership goes by zone.
        revisions: Returns the newest known store revision of each kind.
        crashes: Crashes to report to other VMs.
        health: Reachability of the store from this VM.
        limits: Limits of upstreams, to report to other VMs.
        reachability: When this VM has reached an upstream.
        relayed_limits: Returns limits of upstreams that others have seen.
        rng: Returns the source of random numbers.
        store_news: Returns what this VM knows of the store.
    """

    _members: Members
    _updates: ZoneUpdates
    _revisions: Callable[[], dict[str, int]]
    _crashes: CrashWatch
    _health: StoreHealth
    _limits: UpstreamLimits
    _reachability: UpstreamReachability
    _relayed_limits: Callable[[], tuple[LimitNotice, ...]]
    _rng: Callable[[], random.Random]
    _store_news: Callable[[], StoreNews] = StoreNews

    @property
    def known_updates(self) -> tuple[int, int]:
        """Number of changes of VMs and of crashes that are known."""
        return (self._members.table.update_count, self._crashes.reports.count)

    def direct(self, own: MemberFacts) -> Heartbeat:
        """Return a heartbeat for any VM.

        Args:
            own: Facts about this VM.
        """
        members = self._members
        alive = members.alive()
        heard = sample(self._rng(), alive, _MAX_GOSSIPED_MEMBERS)
        sightings: tuple[Sighting, ...] = ()
        if len(alive) > MAX_DIRECT_MEMBERS:
            heard = heard[:1]
            sightings = _sightings(self._rng(), members, alive)
        unheard = members.unheard_records
        return Heartbeat(
            own,
            tuple(heard),
            self._revisions(),
            self._crashes.reports.next_crashes(),
            self._health.answer_age_ms,
            self._crashes.reports.newest_cleared(),
            self._limits.notices(),
            tuple(sample(self._rng(), unheard, _MAX_UNHEARD_MEMBERS)),
            self._reachability.reached_age_ms,
            self._ages_ms(heard),
            sightings,
            store=self._store_news(),
        )

    def by_zone(self, own: MemberFacts, *, is_digest: bool) -> Heartbeat:
        """Return a heartbeat for VMs that read packed signs of life.

        Args:
            own: Facts about this VM.
            is_digest: Whether it goes to other zones and so tells of the own
                zone only.
        """
        updates = self._updates
        heard = updates.recent(is_digest=is_digest)
        unheard = self._members.unheard_records
        signs = (
            updates.digest(own.zone) if is_digest else updates.signs_for_zone()
        )
        return Heartbeat(
            own,
            tuple(heard),
            self._revisions(),
            self._crashes.reports.next_crashes(),
            self._health.answer_age_ms,
            self._crashes.reports.newest_cleared(),
            self._limits.notices(),
            tuple(sample(self._rng(), unheard, _MAX_UNHEARD_MEMBERS)),
            self._reachability.reached_age_ms,
            self._ages_ms(heard),
            signs=signs,
            relayed_limits=self._relayed_limits(),
            store=self._store_news(),
        )

    def spread(self, own: MemberFacts, zone: str) -> Heartbeat:
        """Return a heartbeat that tells the own zone of another.

        Args:
            own: Facts about this VM.
            zone: The other zone.
        """
        signs = self._updates.digest(zone)
        return Heartbeat(
            own, (), self._revisions(), signs=signs, spread_zone=zone
        )

    def reply(
        self,
        own: MemberFacts,
        heartbeat: Heartbeat,
        *,
        is_new: bool,
        by_zone: bool,
    ) -> Heartbeat | None:
        """Return what a heartbeat is answered with at once, if with anything.

        A process that has just started has no crash records yet. Facts that
        the sender asks for are told, and this VM asks for others.

        Args:
            own: Facts about this VM.
            heartbeat: What another VM has sent.
            is_new: Whether its process was not known before.
            by_zone: Whether membership goes by zone.
        """
        greeting: Heartbeat | None = None
        if is_new and by_zone:
            is_digest = heartbeat.sender.zone != own.zone
            greeting = self.by_zone(own, is_digest=is_digest)
        elif is_new:
            greeting = self.direct(own)
        wanted: tuple[int, ...] = ()
        if heartbeat.signs:
            unknown = self._members.table.wanted
            unknown.discard(process_key(own.process))
            wanted = unknown.take(_MAX_WANTED)
        asked = heartbeat.wanted[:_MAX_WANTED]
        if not wanted and not asked:
            return greeting
        told = self._members.table.facts_of(asked)
        return attrs.evolve(
            greeting or Heartbeat(own, (), self._revisions()),
            heard=tuple(told),
            heard_ages_ms=self._ages_ms(told),
            wanted=wanted,
        )

    def _ages_ms(self, told: Sequence[MemberFacts]) -> tuple[int, ...]:
        return tuple(self._members.age_ms(each.name) for each in told)


def _sightings(
    rng: random.Random, members: Members, alive: Sequence[MemberFacts]
) -> tuple[Sighting, ...]:
    """Return signs of life of some VMs, the newest of those chosen."""
    seen = [
        Sighting.of(each, members.age_ms(each.name))
        for each in sample(rng, alive, _MAX_SIGHTINGS * _SIGHTING_CHOICES)
    ]
    seen.sort(key=operator.attrgetter('age_ms'))
    return tuple(seen[:_MAX_SIGHTINGS])
