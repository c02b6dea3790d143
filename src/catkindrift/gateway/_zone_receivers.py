"""Receivers of heartbeats where membership goes by availability zone."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar, final

import attrs

from catkindrift.steering import (
    MAX_DIRECT_MEMBERS,
    MemberFacts,
    Members,
    ZoneDelegates,
)

_Item = TypeVar('_Item')
# Receivers of one heartbeat in the own zone; with four, updates of each VM pass
# through a zone of 60 in three intervals.
_ZONE_RECEIVERS = 4
# Receivers in the own zone of a digest of another zone.
_SPREAD_RECEIVERS = 64
# Each VM gets a digest of each other zone about so often.
_SPREAD_MS = 900
# Other zones that receive a digest from one VM at a time.
_MAX_ZONES = 16
# Receivers of updates in each other zone: one lost datagram costs nothing.
_UPDATE_RECEIVERS = 2
# Silent VMs get one heartbeat in so many: they may be cut off, or have ended.
_SILENT_EVERY = 4


@final
@attrs.define(eq=False, repr=False)
class ZoneReceivers:
    """Chooses who receives a heartbeat in the own zone and in others.

    Args:
        members: Entry VMs.
        own: Facts about this VM.
        rng: Returns the source of random numbers.
    """

    _members: Members
    _own: MemberFacts
    _rng: Callable[[], random.Random]
    _delegates: ZoneDelegates = attrs.field(init=False)
    _spread_ms: dict[str, int] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the choice of delegates."""
        self._delegates = ZoneDelegates(self._own)

    @property
    def is_active(self) -> bool:
        """Whether there are many VMs, and all that are alive take part."""
        if len(self._members.facts) <= MAX_DIRECT_MEMBERS:
            return False
        return all(each.by_zone for each in self._members.alive())

    def zone_receivers(self) -> list[MemberFacts]:
        """Return VMs of the own zone for one heartbeat."""
        alive, silent = self._split(self._in_zone(self._own.zone))
        return sample(self._rng(), alive, _ZONE_RECEIVERS) + self._some_silent(
            silent
        )

    def record_spread(self, zone: str, now_ms: int) -> None:
        """Record that a VM of the own zone spreads a digest of another."""
        self._spread_ms[zone] = now_ms

    def spread_receivers(self, zone: str, now_ms: int) -> list[MemberFacts]:
        """Return VMs of the own zone that get a digest of another zone now.

        None if one has been spread lately. In a large zone each digest goes to
        a part of the VMs, and digests are spread more often.
        """
        alive, _ = self._split(self._in_zone(self._own.zone))
        if not alive:
            return []
        part = min(1, _SPREAD_RECEIVERS / len(alive))
        last_ms = self._spread_ms.get(zone)
        if last_ms is not None and now_ms - last_ms < _SPREAD_MS * part:
            return []
        self.record_spread(zone, now_ms)
        return sample(self._rng(), alive, _SPREAD_RECEIVERS)

    def digest_receivers(self) -> list[MemberFacts]:
        """Return VMs of other zones to which this VM sends a digest now."""
        own = self._own
        alive, _ = self._split(self._in_zone(own.zone))
        ages = [(each, self._members.age_ms(each.name)) for each in alive]
        zones = self._delegates.zones(ages, self._other_zones())
        chosen: list[MemberFacts] = []
        for zone in sample(self._rng(), zones, _MAX_ZONES):
            alive, silent = self._split(self._in_zone(zone))
            chosen += sample(self._rng(), alive, 1)
            if alive:
                chosen += self._some_silent(silent)
            else:
                chosen += sample(self._rng(), silent, 1)
        return chosen

    def update_receivers(self) -> list[MemberFacts]:
        """Return VMs of other zones that get updates of this VM itself."""
        chosen: list[MemberFacts] = []
        for zone in sample(self._rng(), self._other_zones(), _MAX_ZONES):
            alive, _ = self._split(self._in_zone(zone))
            chosen += sample(self._rng(), alive, _UPDATE_RECEIVERS)
        return chosen

    def _other_zones(self) -> list[str]:
        zones = {each.zone for each in self._members.facts}
        return sorted(zones - {self._own.zone})

    def _in_zone(self, zone: str) -> list[MemberFacts]:
        return [each for each in self._members.facts if each.zone == zone]

    def _split(
        self, known: Sequence[MemberFacts]
    ) -> tuple[list[MemberFacts], list[MemberFacts]]:
        """Return those that are alive, and those that are silent."""
        alive = {each.name for each in self._members.alive()}
        return (
            [each for each in known if each.name in alive],
            [each for each in known if each.name not in alive],
        )

    def _some_silent(self, silent: Sequence[MemberFacts]) -> list[MemberFacts]:
        """Return one silent VM now and then."""
        is_due = self._rng().randrange(_SILENT_EVERY) == 0
        return sample(self._rng(), silent, 1) if is_due else []


def sample(
    rng: random.Random, known: Sequence[_Item], count: int
) -> list[_Item]:
    """Return `count` random items, or all if there are fewer."""
    return rng.sample(known, min(len(known), count))
