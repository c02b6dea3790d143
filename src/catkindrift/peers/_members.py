"""Liveness of the other entry VMs as this one sees it."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.domain import Vm, VmRole, VmState
from catkindrift.peers._record import PeerRecord

# An entry VM counts as dead when its record has not advanced for this long.
PEER_TIMEOUT_MS = 3000
_RECORD_RETENTION_MS = 600_000


@final
@attrs.define
class _Member:
    record: PeerRecord
    advanced_ms: int


@final
@attrs.define
class Members:
    """Newest records of the other entry VMs, and when each last advanced.

    A VM counts as alive while its record advances, whether the record arrives
    directly or through other VMs. A VM that is in the VM list but has sent no
    record yet counts as alive for the same time; otherwise a process that has
    just started would take over slots that its neighbours own.

    Args:
        clock: Source of time.
        name: Name of this entry VM.
        incarnation: Start time of this process, Unix milliseconds.

    Attributes:
        revision_floor: Lowest configuration revision that this process may
            put in force; set from records of earlier processes of this VM.
    """

    _clock: Clock
    _name: str
    _incarnation: int
    _members: dict[str, _Member] = attrs.field(init=False, factory=dict)
    _listed: dict[str, Vm] = attrs.field(init=False, factory=dict)
    _first_listed_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    revision_floor: int = attrs.field(init=False, default=0)

    def merge(self, record: PeerRecord) -> bool:
        """Store a record if it is newer than the known one.

        A record of an earlier process of this VM is not stored; it raises
        `revision_floor`, so that a restart does not revert the configuration.

        Returns:
            Whether the record was stored.
        """
        if record.vm.name == self._name:
            if record.incarnation != self._incarnation:
                self.revision_floor = max(self.revision_floor, record.revision)
            return False
        known = self._members.get(record.vm.name)
        if known and known.record.version >= record.version:
            return False
        self._members[record.vm.name] = _Member(record, self._clock.now_ms())
        return True

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Replace the listed entry VMs by those of a new VM list."""
        self._listed = {
            vm.name: vm
            for vm in vms
            if vm.role is VmRole.ENTRY and vm.name != self._name
        }
        now_ms = self._clock.now_ms()
        self._first_listed_ms = {
            name: self._first_listed_ms.get(name, now_ms)
            for name in self._listed
        }
        self._remove_expired(now_ms)

    def records(self) -> tuple[PeerRecord, ...]:
        """Return the newest record of each other entry VM."""
        return tuple(member.record for member in self._members.values())

    def alive_records(self) -> tuple[PeerRecord, ...]:
        """Return the records of other entry VMs that are alive."""
        return tuple(
            member.record
            for name, member in self._members.items()
            if self.is_alive(name)
        )

    def record(self, name: str) -> PeerRecord | None:
        """Return the newest record of another entry VM, or None."""
        member = self._members.get(name)
        return member.record if member else None

    def is_alive(self, name: str) -> bool:
        """Return whether an entry VM counts as alive; this one always does."""
        if name == self._name:
            return True
        now_ms = self._clock.now_ms()
        member = self._members.get(name)
        if member is not None:
            return now_ms - member.advanced_ms < PEER_TIMEOUT_MS
        listed_ms = self._first_listed_ms.get(name)
        return listed_ms is not None and now_ms - listed_ms < PEER_TIMEOUT_MS

    def ms_since_update(self, name: str) -> int | None:
        """Return the milliseconds since a VM's record advanced, or None."""
        member = self._members.get(name)
        if member is None:
            return None
        return self._clock.now_ms() - member.advanced_ms

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return all other entry VMs that are known, alive or not."""
        known = {
            name: member.record.vm for name, member in self._members.items()
        }
        return tuple((known | self._listed).values())

    def alive_in_zone(self, zone: str) -> list[str]:
        """Return the names of other entry VMs that are alive in a zone."""
        return [
            vm.name
            for vm in self.entry_vms()
            if vm.zone == zone and self.is_alive(vm.name)
        ]

    def is_listed_leaving(self, name: str) -> bool:
        """Return whether the VM list shows an entry VM as leaving."""
        listed = self._listed.get(name)
        return listed is not None and listed.state is VmState.LEAVING

    def _remove_expired(self, now_ms: int) -> None:
        for name in list(self._members):
            age_ms = now_ms - self._members[name].advanced_ms
            if age_ms > _RECORD_RETENTION_MS and name not in self._listed:
                self._members.pop(name)
