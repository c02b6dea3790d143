"""Regions that serve each service, agreed without a call."""

from collections.abc import Mapping
from typing import final

import attrs
import xxhash

from catkindrift.steering._region_split import (
    RegionLoad,
    split_of,
    step_towards,
)

_HASH_RANGE = 1 << 64
# Part of the bound on shifts that one step a second uses: two steps fall
# into a window, and the keys' traffic is uneven.
_STEP_OF_BOUND = 0.2


@final
@attrs.define(eq=False)
class RegionPlan:
    """Shares of each region for the requests that arrive here.

    All entry VMs of a region compute the same shares from the same facts.
    Shares move slowly, so that callers' objects stay where they are warm.

    Args:
        origin: Region of this entry VM.
        shift_share: Most of the requests that may move within two seconds.
    """

    _origin: str
    _shift_share: float
    _shares: dict[str, dict[str, float]] = attrs.field(init=False, factory=dict)

    def update(self, service: str, loads: Mapping[str, RegionLoad]) -> None:
        """Take one step towards the split that the loads ask for."""
        wanted = split_of(self._origin, loads)
        current = self._shares.get(service)
        if current is None:
            self._shares[service] = wanted
            return
        step = self._shift_share * _STEP_OF_BOUND
        self._shares[service] = step_towards(current, wanted, step)

    def shares(self, service: str) -> Mapping[str, float]:
        """Return the shares of a service by region."""
        return self._shares.get(service, {self._origin: 1.0})

    def region_for(self, service: str, key: str) -> str:
        """Return the region that serves an object of a service."""
        shares = self.shares(service)
        hashed = xxhash.xxh3_64_intdigest(f'{service}|{key}'.encode())
        left = hashed / _HASH_RANGE * sum(shares.values())
        own_first = sorted(shares, key=self._order)
        for region in own_first:
            left -= shares[region]
            if left < 0:
                return region
        return self._origin

    def _order(self, region: str) -> tuple[bool, str]:
        return (region != self._origin, region)
