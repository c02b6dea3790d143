"""Snapshot of all VMs as one entry VM sees them, for plans."""

from typing import final

import attrs

from catkindrift.domain import Drain, DrainScope, Vm
from catkindrift.peers import PeerRecord


@final
@attrs.frozen
class FleetView:
    """Snapshot of the entry VMs and upstreams of a deployment.

    Args:
        records: Records of the entry VMs that are alive, this one included.
        silent_entry_vms: Names of known entry VMs without a current record.
        upstreams: Upstreams in the VM list.
    """

    records: tuple[PeerRecord, ...]
    silent_entry_vms: tuple[str, ...]
    upstreams: tuple[Vm, ...]

    @property
    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the entry VMs that are alive."""
        return tuple(record.vm for record in self.records)

    def target_exists(self, drain: Drain) -> bool:
        """Return whether a drain covers at least one known VM."""
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
        """Return the number of requests that a VM has yet to finish.

        Counts requests pending in an entry VM and attempts that any entry VM
        has in flight at an upstream.
        """
        pending = sum(
            record.pending
            for record in self.records
            if record.vm.name == vm.name
        )
        return pending + sum(
            record.in_flight_attempts(vm.name) for record in self.records
        )

    def used_slots(self, region: str, service: str) -> int:
        """Return the number of a service's slots in use in a region."""
        return sum(
            capacity.used
            for record in self.records
            if record.region == region
            for capacity in record.capacities
            if capacity.service == service
        )

    def lagging_entry_vms(self, revision: int) -> tuple[str, ...]:
        """Return the names of entry VMs not known to be at a revision.

        Silent entry VMs are included, since they may be alive and apply an
        older configuration.
        """
        behind = [
            record.vm.name
            for record in self.records
            if record.revision < revision
        ]
        return (*behind, *self.silent_entry_vms)
