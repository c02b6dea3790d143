"""Records of entry VMs in the platform's store."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._urgent_heartbeats import UrgentHeartbeats
from catkindrift.platform import StoreObject, decode_entry_vm
from catkindrift.steering import EntryVmRecord, Members


@final
@attrs.define(eq=False, repr=False)
class EntryVmRecords:
    """Exchanges crash reports with VMs that heartbeats do not reach.

    Args:
        clock: Source of time.
        heartbeats: Contacts the registered VMs.
        urgent: Passes news on to them.
        crashes: Crashes that this VM knows.
        members: Entry VMs.
    """

    _clock: Clock
    _heartbeats: Heartbeats
    _urgent: UrgentHeartbeats
    _crashes: CrashWatch
    _members: Members

    def own_record(self) -> EntryVmRecord:
        """Return what this VM has to tell."""
        return EntryVmRecord(
            self._heartbeats.own_member.peers,
            self._crashes.reports.stored_crashes(),
            self._crashes.reports.newest_cleared(),
            self._clock.wall_ms(),
        )

    def apply_list(self, found: tuple[StoreObject, ...]) -> None:
        """Apply all records, which may have been written long ago."""
        ages_ms: dict[str, int] = {}
        for stored in found:
            age_ms, record = self._register(stored)
            ages_ms[stored.name] = age_ms
            self._merge(record.aged(age_ms))
            if stored.name == self._heartbeats.own_member.name:
                self._crashes.reports.record_own(
                    (each.fingerprint, each.upstream) for each in record.crashes
                )
        self._members.record_list(ages_ms)

    def apply_change(self, stored: StoreObject) -> None:
        """Apply a record that has just been written."""
        if not stored.is_deleted:
            _, record = self._register(stored)
            self._merge(record)

    def register(self, found: tuple[StoreObject, ...]) -> None:
        """Learn only which VMs there are.

        Their crash reports may have been retracted since they were written.
        """
        for stored in found:
            self._register(stored)

    def _register(self, stored: StoreObject) -> tuple[int, EntryVmRecord]:
        """Learn of a VM; return the age of its record, and the record."""
        record = decode_entry_vm(stored)
        age_ms = max(0, self._clock.wall_ms() - record.written_ms)
        self._members.record_registration(stored.name, age_ms)
        self._heartbeats.add_seed(record.peers)
        return age_ms, record

    def _merge(self, record: EntryVmRecord) -> None:
        if not record.crashes and not record.cleared:
            return
        known = self._crashes.reports.count
        self._crashes.merge_reports(record.crashes, record.cleared)
        if self._crashes.reports.count > known:
            self._urgent.send()
