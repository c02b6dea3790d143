"""State of the deployment as one entry VM knows it."""

from typing import final

import attrs

from catkindrift.core import EntryCore
from catkindrift.domain import Configuration, PlanState, Zone
from catkindrift.operators._status import DeploymentStatus, Headroom, ZoneStatus
from catkindrift.peers import PeerRecord
from catkindrift.plans import FleetView
from catkindrift.store import GuardedPlatform

_UNFINISHED_STATES = frozenset(
    (PlanState.PROPOSED, PlanState.RUNNING, PlanState.PAUSED)
)


@final
@attrs.define(eq=False, repr=False)
class DeploymentReader:
    """Reads the state of the deployment; only for use on the event loop.

    Args:
        core: Decision core of this entry VM.
        platform: Platform client, which tells whether the platform responds.
    """

    _core: EntryCore
    _platform: GuardedPlatform

    def configuration(self) -> Configuration:
        """Return the configuration in force on this entry VM."""
        return self._core.state.active_config.configuration

    def not_ready_reason(self) -> str:
        """Return why this VM is not ready for callers; empty if it is ready."""
        if self._core.state.is_stopping:
            return 'stopping: requests in flight are being finished'
        if not self._core.state.is_ready:
            return 'no configuration: neither platform nor peers gave one'
        return ''

    def fleet_view(self) -> FleetView:
        """Return the known state of all VMs, which plans are based on."""
        members = self._core.state.members
        silent = tuple(
            vm.name
            for vm in members.entry_vms()
            if members.record(vm.name) is None or not members.is_alive(vm.name)
        )
        return FleetView(
            self._records(),
            silent,
            tuple(upstream.vm for upstream in self._core.state.upstreams),
        )

    def status(self) -> DeploymentStatus:
        """Return the state of the deployment."""
        configuration = self._core.state.active_config.configuration
        fleet = self.fleet_view()
        return DeploymentStatus(
            vm=self._core.state.identity.name,
            revision=configuration.revision,
            is_platform_available=self._platform.is_available,
            zones=tuple(
                self._zone_status(zone, fleet) for zone in configuration.zones
            ),
            drains=configuration.drains,
            shifts=configuration.shifts,
            plans=tuple(
                plan
                for plan in configuration.plans
                if plan.state in _UNFINISHED_STATES
            ),
        )

    def headroom(self) -> tuple[Headroom, ...]:
        """Return the headroom of each service in each region."""
        configuration = self._core.state.active_config.configuration
        records = self._records()
        return tuple(
            _headroom(records, region, service.name)
            for service in configuration.services
            for region in configuration.regions
        )

    def _records(self) -> tuple[PeerRecord, ...]:
        own = self._core.own_record()
        return (own, *self._core.state.members.alive_records())

    def _zone_status(self, zone: Zone, fleet: FleetView) -> ZoneStatus:
        revisions = {
            record.vm.name: record.revision
            for record in fleet.records
            if record.vm.zone == zone.name
        }
        silent = tuple(
            vm.name
            for vm in self._core.state.members.entry_vms()
            if vm.zone == zone.name and vm.name in fleet.silent_entry_vms
        )
        newest = self._core.state.active_config.revision
        oldest = min(revisions.values(), default=0)
        return ZoneStatus(
            zone.name,
            zone.region,
            tuple(sorted(revisions)),
            silent,
            oldest,
            oldest >= newest and not silent,
        )


def _headroom(
    records: tuple[PeerRecord, ...],
    region: str,
    service: str,
) -> Headroom:
    reports = [
        report
        for record in records
        if record.region == region
        for report in record.capacities
        if report.service == service
    ]
    return Headroom(
        region,
        service,
        sum(report.slots for report in reports),
        sum(report.used for report in reports),
        sum(report.waiting for report in reports),
        len(reports),
    )
