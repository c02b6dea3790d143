"""All upstreams that an entry VM knows."""

from collections.abc import Iterable, Iterator
from typing import final

import attrs

from catkindrift.domain import Vm, VmRole
from catkindrift.routing._upstream_state import UpstreamState

_MAX_EJECTED_SHARE = 0.5


@final
@attrs.define
class UpstreamTable:
    """Upstreams by name, by service and by service and zone."""

    _states: dict[str, UpstreamState] = attrs.field(init=False, factory=dict)
    _by_service: dict[str, list[UpstreamState]] = attrs.field(
        init=False,
        factory=dict,
    )

    _by_service_and_zone: dict[tuple[str, str], list[UpstreamState]] = (
        attrs.field(
            init=False,
            factory=dict,
        )
    )

    def __iter__(self) -> Iterator[UpstreamState]:
        """Iterate over all upstreams."""
        return iter(self._states.values())

    def get(self, name: str) -> UpstreamState | None:
        """Return the upstream called `name`, if it is known."""
        return self._states.get(name)

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service in all zones."""
        return self._by_service.get(service, [])

    def in_zone(self, service: str, zone: str) -> list[UpstreamState]:
        """Return the upstreams of a service in one availability zone."""
        return self._by_service_and_zone.get((service, zone), [])

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Take over a VM list; observations of known upstreams stay.

        A VM that came back at another address starts without observations.
        """
        listed: dict[str, UpstreamState] = {}
        for vm in vms:
            if vm.role is VmRole.UPSTREAM:
                listed[vm.name] = self._merge(vm)
        self._states = listed
        self._by_service = {}
        self._by_service_and_zone = {}
        for state in listed.values():
            service = state.vm.service
            place = (service, state.vm.zone)
            self._by_service.setdefault(service, []).append(state)
            self._by_service_and_zone.setdefault(place, []).append(state)

    def may_eject(self, candidate: UpstreamState, now_ms: int) -> bool:
        """Return whether ejecting keeps enough of the service in its zone.

        A wrong signal must never take out most of a service.
        """
        siblings = self.in_zone(candidate.vm.service, candidate.vm.zone)
        ejected = sum(state.is_ejected(now_ms) for state in siblings)
        return ejected + 1 <= len(siblings) * _MAX_EJECTED_SHARE

    def _merge(self, vm: Vm) -> UpstreamState:
        known = self._states.get(vm.name)
        if known is None or (known.vm.address, known.vm.port) != (
            vm.address,
            vm.port,
        ):
            return UpstreamState(vm)
        known.vm = vm
        return known
