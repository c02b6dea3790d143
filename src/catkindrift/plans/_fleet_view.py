"""What one entry VM knows of all VMs, for plans."""

from typing import final

import attrs

from catkindrift.domain import Drain, DrainScope, Vm
from catkindrift.peers import PeerRecord


@final
@attrs.frozen
class FleetView:
    """Records and lists at one moment.

    Args:
        records: Records of the entry VMs that are alive, this one included.
        silent: Names of entry VMs that are listed but not heard.
        upstreams: Upstreams of the VM list.
    """

    records: tuple[PeerRecord, ...]
    silent_entry_vms: tuple[str, ...]
    upstreams: tuple[Vm, ...]

    @property
    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the entry VMs that are alive."""
        return tuple(record.vm for record in self.records)

    def target_exists(self, drain: Drain) -> bool:
        """Return whether the target of a drain exists."""
        return bool(self.targets(drain))

    def targets(self, drain: Drain) -> tuple[Vm, ...]:
        """Return the VMs that a drain covers."""
        return tuple(
            vm
            for vm in (*self.entry_vms, *self.upstreams)
            if (drain.scope is DrainScope.VM and vm.name == drain.target)
            or (drain.scope is DrainScope.ZONE and vm.zone == drain.target)
        )

    def outstanding_requests(self, vm: Vm) -> int:
        """Return the requests that a VM still has."""
        own = sum(
            record.pending
            for record in self.records
            if record.vm.name == vm.name
        )
        return own + sum(
            record.in_flight_attempts(vm.name) for record in self.records
        )

    def used_slots(self, region: str, service: str) -> int:
        """Return the slots of a service in use in a region."""
        return sum(
            room.used
            for record in self.records
            if record.region == region
            for room in record.capacities
            if room.service == service
        )

    def lagging_entry_vms(self, revision: int) -> tuple[str, ...]:
        """Return the entry VMs that may not have a revision in force."""
        behind = [
            record.vm.name
            for record in self.records
            if record.revision < revision
        ]
        return (*behind, *self.silent_entry_vms)
