"""Answers to callers that ask which entry VMs to use."""

from typing import final

import attrs

from catkindrift.core._state import CoreState
from catkindrift.domain import Vm
from catkindrift.routing import LookupAnswer, order_entries


@final
@attrs.define(eq=False)
class Lookups:
    """Names the entry VMs that accept new callers.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState

    def answer(self, block: str) -> LookupAnswer:
        """Return the entry VMs for a client address or block.

        Raises:
            ValueError: The text is no IPv4 address or block.
        """
        in_force = self._state.in_force
        zone = in_force.blocks.zone_of(block)
        entries = order_entries(
            self._accepting(),
            in_force.configuration,
            zone or self._state.identity.zone,
            block,
        )
        lifetime_ms = self._state.bounds.lookup_lifetime_ms
        return LookupAnswer(zone, entries, lifetime_ms)

    def _accepting(self) -> list[Vm]:
        """Return the entry VMs that new callers may use.

        When all of them are leaving, any of them is better than none.
        """
        members = self._state.members
        alive = [vm for vm in members.entry_vms() if members.is_alive(vm.name)]
        alive.append(self._state.identity.vm)
        accepting = [vm for vm in alive if not self._is_leaving(vm)]
        return accepting or alive

    def _is_leaving(self, vm: Vm) -> bool:
        if self._state.in_force.is_drained(vm):
            return True
        if vm.name == self._state.identity.name:
            return self._state.is_stopping
        members = self._state.members
        record = members.record(vm.name)
        if record is not None and record.is_stopping:
            return True
        return members.is_listed_leaving(vm.name)
