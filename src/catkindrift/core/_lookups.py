"""Lookup table that tells callers which entry VMs to use."""

from typing import final

import attrs

from catkindrift.core._state import CoreState
from catkindrift.domain import Vm
from catkindrift.routing import EntryDirectory, LookupTable

_TABLE_CACHE_MS = 100


@final
@attrs.define(eq=False, repr=False)
class Lookups:
    """Builds and caches the lookup table.

    Args:
        state: State of the entry VM.
    """

    _state: CoreState
    _table: LookupTable | None = attrs.field(init=False, default=None)
    _built_ms: int = attrs.field(init=False, default=0)
    _built_for: tuple[int, bool] = attrs.field(init=False, default=(0, False))

    def table(self) -> LookupTable:
        """Return the lookup table.

        It is rebuilt when it is older than `_TABLE_CACHE_MS`, when another
        configuration becomes active, and when this VM begins to stop.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        build_key = (state.active_config.revision, state.is_stopping)
        is_old = now_ms - self._built_ms >= _TABLE_CACHE_MS
        if self._table is None or is_old or build_key != self._built_for:
            self._table = self._build_table()
            self._built_ms = now_ms
            self._built_for = build_key
        return self._table

    def _build_table(self) -> LookupTable:
        state = self._state
        directory = EntryDirectory.build(
            self._accepting_vms(),
            state.active_config.configuration,
        )
        known = self._table
        if known is not None and known.directory == directory:
            directory = known.directory
        return LookupTable(
            state.active_config.blocks,
            directory,
            state.identity.zone,
            state.bounds.lookup_lifetime_ms,
        )

    def _accepting_vms(self) -> list[Vm]:
        """Return the live entry VMs that new callers may use.

        If all of them are leaving, return them all: a leaving entry VM is
        better than none.
        """
        members = self._state.members
        alive = [vm for vm in members.entry_vms() if members.is_alive(vm.name)]
        alive.append(self._state.identity.vm)
        accepting = [vm for vm in alive if not self._is_leaving(vm)]
        return accepting or alive

    def _is_leaving(self, vm: Vm) -> bool:
        if self._state.active_config.is_drained(vm):
            return True
        if vm.name == self._state.identity.name:
            return self._state.is_stopping
        members = self._state.members
        record = members.record(vm.name)
        if record is not None and record.is_stopping:
            return True
        return members.is_listed_leaving(vm.name)
