"""Addresses of entry VMs of which nothing else is known."""

import random
from collections.abc import Sequence
from typing import final

import attrs

from catkindrift.gateway._zone_receivers import sample
from catkindrift.steering import MAX_DIRECT_MEMBERS, MemberFacts

# Addresses that get one heartbeat, while few VMs are known and once many are:
# the others tell of the rest.
_MAX_FIRST = 16
_MAX_LATER = 2


@final
@attrs.define(eq=False, repr=False)
class HeartbeatSeeds:
    """Addresses from the store, until a VM there is heard."""

    _addresses: set[str] = attrs.field(init=False, factory=set)

    def add(self, address: str) -> None:
        """Take up an address."""
        self._addresses.add(address)

    def discard(self, address: str) -> None:
        """Drop an address whose VM is heard."""
        self._addresses.discard(address)

    def chosen(
        self, rng: random.Random, alive: Sequence[MemberFacts]
    ) -> list[str]:
        """Return the addresses that get a heartbeat now.

        All of them if there are few, or if a VM is alive that can't learn of
        others by packed signs of life.

        Args:
            rng: Source of random numbers.
            alive: VMs that are alive, whose addresses are dropped.
        """
        if not self._addresses:
            return []
        self._addresses.difference_update(each.peers for each in alive)
        known = sorted(self._addresses)
        is_small = len(known) + len(alive) <= MAX_DIRECT_MEMBERS
        if is_small or not all(each.by_zone for each in alive):
            return known
        is_settled = len(alive) > MAX_DIRECT_MEMBERS
        return sample(rng, known, _MAX_LATER if is_settled else _MAX_FIRST)
