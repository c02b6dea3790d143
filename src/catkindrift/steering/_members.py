"""Membership and liveness of entry VMs."""

import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._heartbeat import (
    Heartbeat,
    MemberFacts,
    Sighting,
)
from catkindrift.steering._member import Member
from catkindrift.steering._member_table import MemberTable

# Silent VMs keep their shares of the common limits for this time, since they
# may be partitioned from this VM and still serve requests.
_RETENTION_MS = 120_000
# A VM that does not hear all others renews its record twice in this time.
_RECORD_RETENTION_MS = 180_000
# A VM that hears all others renews its record several times in this time.
_LISTED_RETENTION_MS = 10_800_000
# VMs that start together learn of each other in this time after the list.
_SETTLING_MS = 2500
# Without a sign that the others know of it, a VM gives its shares up well
# before they forget it.
_SHARE_LEASE_MS = 110_000


@final
@attrs.define(eq=False, repr=False)
class Members:
    """Entry VMs known from heartbeats and from the platform's store.

    Args:
        clock: Source of time.
        own_name: Name of this entry VM.
        last_recovery_ms: Time of the last heartbeat from a VM that had been
            silent beyond the heartbeat timeout; 0 if there was none.
        table: What is known of each of them.
    """

    _clock: Clock
    _own_name: str
    last_recovery_ms: int = attrs.field(init=False, default=0)
    table: MemberTable = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda members: MemberTable(members._clock), takes_self=True
        ),
    )
    _records_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _listed_ms: int | None = attrs.field(init=False, default=None)
    _known_to_others_ms: int = attrs.field(init=False, default=-_SHARE_LEASE_MS)

    @property
    def names(self) -> tuple[str, ...]:
        """Sorted names of all entry VMs that may be alive, with this one.

        These are the VMs that have been heard, and those whose record in the
        store has been written lately, heard or not.
        """
        oldest_ms = self._clock.now_ms() - _RECORD_RETENTION_MS
        registered = (
            name
            for name, written_ms in self._records_ms.items()
            if written_ms > oldest_ms
        )
        return tuple(sorted({self._own_name, *self.table.by_name, *registered}))

    @property
    def sharers(self) -> tuple[str, ...]:
        """Sorted names of the entry VMs that share the common limits.

        Empty while this VM can't know all of them, or while they may have
        forgotten it: until the records in the store have been read and VMs
        that started at the same time had time to appear, and after a long time
        without contact.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self.sharing_from_ms:
            return ()
        if self.hears_all:
            self._known_to_others_ms = now_ms
        if now_ms - self._known_to_others_ms > _SHARE_LEASE_MS:
            return ()
        return self.names

    @property
    def sharing_from_ms(self) -> int:
        """Time from which this VM can share the limits after its start."""
        listed_ms = self._listed_ms
        if listed_ms is None:
            listed_ms = self._clock.now_ms()
        return listed_ms + _SETTLING_MS

    @property
    def unheard_records(self) -> tuple[tuple[str, int], ...]:
        """Names of registered VMs that are not heard, and ages of records."""
        now_ms = self._clock.now_ms()
        return tuple(
            (name, now_ms - written_ms)
            for name, written_ms in self._records_ms.items()
            if name not in self.table.by_name
            and name != self._own_name
            and now_ms - written_ms < _RECORD_RETENTION_MS
        )

    @property
    def hears_all(self) -> bool:
        """Whether all entry VMs that may be alive are heard."""
        alive = {self._own_name, *(each.name for each in self.alive())}
        return alive.issuperset(self.names)

    @property
    def facts(self) -> tuple[MemberFacts, ...]:
        """Facts about all other known entry VMs, alive or silent."""
        return tuple(each.facts for each in self.table.by_name.values())

    def alive(self) -> tuple[MemberFacts, ...]:
        """Return the facts about the other entry VMs that are alive."""
        return self.table.alive()

    def age_ms(self, name: str) -> int:
        """Return the time since a VM has sent what is known of it.

        Raises:
            KeyError: The VM is unknown.
        """
        return self._clock.now_ms() - self.table.by_name[name].sent_ms

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Update the members from a heartbeat.

        Returns:
            Whether the sender is a process that was not known before.
        """
        sender = heartbeat.sender
        known = self.table.by_name.get(sender.name)
        is_new = known is None or known.facts.started_ms < sender.started_ms
        self.record_facts((sender,))
        # VMs of an older version tell no ages.
        ages_ms = itertools.chain(heartbeat.heard_ages_ms, itertools.repeat(0))
        told = itertools.chain(
            zip(heartbeat.heard, ages_ms, strict=False),
            _newer_facts(self.table.by_name.values(), heartbeat.sightings),
        )
        for facts, age_ms in told:
            self.record_facts((facts,), age_ms)
        if self.table.record_signs(heartbeat.signs):
            self.last_recovery_ms = self._clock.now_ms()
        for name, record_age_ms in heartbeat.unheard:
            self.record_registration(name, record_age_ms)
        return is_new

    def record_facts(
        self, facts: Iterable[MemberFacts], age_ms: int = 0
    ) -> None:
        """Replace older facts; newer facts about a VM show that it was alive.

        Args:
            facts: Facts about VMs.
            age_ms: Time since these VMs have sent them.
        """
        now_ms = self._clock.now_ms()
        sent_ms = now_ms - age_ms
        for each in facts:
            if each.name == self._own_name:
                continue
            if self.table.record(each, sent_ms):
                self.last_recovery_ms = now_ms

    def record_registration(self, name: str, age_ms: int) -> None:
        """Record that a VM has written its record in the store.

        Args:
            name: Name of the VM.
            age_ms: Time since it was written.
        """
        written_ms = self._clock.now_ms() - age_ms
        self._records_ms[name] = max(
            written_ms, self._records_ms.get(name, written_ms)
        )

    def record_list(self, ages_ms: Mapping[str, int]) -> None:
        """Record a complete list of the records in the store.

        VMs that hear each other renew their records rarely, so an old record
        may be that of a VM which this one does not hear.

        Args:
            ages_ms: Time since each record was written, by name of the VM.
        """
        for name, age_ms in ages_ms.items():
            if age_ms < _LISTED_RETENTION_MS:
                self.record_registration(name, 0)
        if self._listed_ms is None:
            self._listed_ms = self._clock.now_ms()

    def record_own_registration(self) -> None:
        """Record that this VM has written its record in the store."""
        self._known_to_others_ms = self._clock.now_ms()

    def forget_silent(self) -> None:
        """Remove VMs that have been silent for the retention time."""
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        silent = [
            name
            for name, each in self.table.by_name.items()
            if each.updated_ms < oldest_ms
        ]
        for name in silent:
            self.table.remove(name)


def _newer_facts(
    known: Iterable[Member], sightings: Sequence[Sighting]
) -> Iterator[tuple[MemberFacts, int]]:
    """Yield facts about known VMs with later signs of life, and their ages.

    A process that is not known here has to tell its facts first.
    """
    by_process = {each.process: each for each in known} if sightings else {}
    for seen in sightings:
        member = by_process.get(seen.process)
        facts = seen.newer_facts(member.facts) if member else None
        if facts:
            yield facts, seen.age_ms
