"""The upstreams of the VM list and their observed state."""

from collections.abc import Iterable, Iterator
from typing import final

import attrs

from catkindrift.domain import Vm, VmRole
from catkindrift.routing._upstream_state import UpstreamState

_MAX_EJECTED_FRACTION = 0.5


@final
@attrs.define
class UpstreamTable:
    """Indexes upstreams by name, by service, and by service and zone."""

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
        """Return the upstream with a name, or None when it is unknown."""
        return self._states.get(name)

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service in all zones."""
        return self._by_service.get(service, [])

    def in_zone(self, service: str, zone: str) -> list[UpstreamState]:
        """Return the upstreams of a service in one availability zone."""
        return self._by_service_and_zone.get((service, zone), [])

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Replace the upstreams by those of a new VM list.

        The observations of known upstreams are preserved, except of a VM
        that has another address, port or start than before.
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
            key = (service, state.vm.zone)
            self._by_service.setdefault(service, []).append(state)
            self._by_service_and_zone.setdefault(key, []).append(state)

    def may_eject(self, candidate: UpstreamState, now_ms: int) -> bool:
        """Return whether enough upstreams would remain after an ejection.

        At most half of a service's upstreams in a zone may be ejected at a
        time, so that a wrong failure signal cannot disable most of a service.

        Args:
            candidate: Upstream to eject.
            now_ms: Current monotonic time.
        """
        siblings = self.in_zone(candidate.vm.service, candidate.vm.zone)
        ejected = sum(state.is_ejected(now_ms) for state in siblings)
        return ejected + 1 <= len(siblings) * _MAX_EJECTED_FRACTION

    def _merge(self, vm: Vm) -> UpstreamState:
        known = self._states.get(vm.name)
        if known is None or _process(known.vm) != _process(vm):
            return UpstreamState(vm)
        known.vm = vm
        return known


def _process(vm: Vm) -> tuple[str, int, int]:
    return (vm.address, vm.port, vm.started_ms)
