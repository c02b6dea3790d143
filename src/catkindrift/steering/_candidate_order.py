"""Preference order of upstreams for each object."""

from typing import final

import attrs

from catkindrift.rendezvous import rendezvous_order
from catkindrift.steering._distances import ZoneDistances
from catkindrift.steering._local_order import local_order
from catkindrift.steering._locality import Locality
from catkindrift.steering._upstream_registry import UpstreamRegistry
from catkindrift.steering._upstream_state import UpstreamState

# Ample for the few dozen objects of a service that are requested often.
_MAX_CACHED_ORDERS = 4096


@final
@attrs.define(eq=False, repr=False)
class CandidateOrder:
    """Orders upstreams by rendezvous hashing, identically on all entry VMs.

    Orders are cached until the registry changes.

    Args:
        registry: All known upstreams.
        distances: Identifies the upstreams in this entry VM's region.
        locality: Zones in which requests run; None if all zones are alike.
    """

    _registry: UpstreamRegistry
    _distances: ZoneDistances
    _locality: Locality | None = None
    _epoch: int = attrs.field(init=False, default=-1)
    _orders: dict[tuple[str, str, bool, int], list[UpstreamState]] = (
        attrs.field(init=False, factory=dict)
    )

    def order_for_key(
        self,
        service: str,
        key: str,
        *,
        near_first: bool = False,
    ) -> list[UpstreamState]:
        """Return the eligible upstreams of a service, best for `key` first.

        Args:
            service: Name of the service.
            key: Key of the requested object.
            near_first: Whether upstreams in this entry VM's region come
                before all others.
        """
        if self._epoch != self._registry.epoch:
            self._orders.clear()
            self._epoch = self._registry.epoch
        locality = self._locality
        version = locality.version(service) if locality else 0
        cache_key = (service, key, near_first, version)
        order = self._orders.get(cache_key)
        if order is None:
            order = self._compute(service, key)
            if locality:
                order = local_order(service, key, order, locality)
            if near_first:
                order.sort(key=self._is_far)
            if len(self._orders) < _MAX_CACHED_ORDERS:
                self._orders[cache_key] = order
        return order

    def _is_far(self, state: UpstreamState) -> bool:
        return not self._distances.is_own_region(state.upstream.zone)

    def _compute(self, service: str, key: str) -> list[UpstreamState]:
        by_id = {
            state.upstream.id: state
            for state in self._registry.of_service(service)
            if self._registry.is_eligible(state)
        }
        return [by_id[each] for each in rendezvous_order(key, by_id)]
