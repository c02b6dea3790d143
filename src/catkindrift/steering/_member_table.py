"""Table of the other entry VMs and their processes."""

import operator
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._heartbeat import MemberFacts
from catkindrift.steering._member import RECENT_MS, Member
from catkindrift.steering._packed_signs import (
    PackedSign,
    process_key,
    unpack_signs,
)
from catkindrift.steering._wanted_processes import WantedProcesses

# A VM counts as alive while news of it arrive; of few VMs each hears all
# others itself, and this tolerates six consecutive lost heartbeats.
_HEARTBEAT_TIMEOUT_MS = 2500
# Of many VMs, most are heard of by way of others, at random.
_GOSSIP_TIMEOUT_MS = 4000
# Number of other VMs up to which each is sent every heartbeat.
MAX_DIRECT_MEMBERS = 16


@final
@attrs.define(eq=False, repr=False)
class MemberTable:
    """Other entry VMs by name and by process, and their signs of life.

    Args:
        clock: Source of time.
        by_name: What is known of each VM.
        update_count: Number of changes of VMs so far that others have to know
            at once: readiness and reach.
        wanted: Processes that others name and this VM doesn't know.
    """

    _clock: Clock
    by_name: dict[str, Member] = attrs.field(init=False, factory=dict)
    update_count: int = attrs.field(init=False, default=0)
    wanted: WantedProcesses = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda table: WantedProcesses(table._clock), takes_self=True
        ),
    )
    _by_key: dict[int, Member] = attrs.field(init=False, factory=dict)

    def record(self, facts: MemberFacts, sent_ms: int) -> bool:
        """Take newer facts and return whether a silent VM is alive again.

        Args:
            facts: Facts about the VM.
            sent_ms: When the VM has sent them.
        """
        now_ms = self._clock.now_ms()
        member = self.by_name.get(facts.name)
        if member is None:
            member = Member(facts, now_ms, sent_ms)
            self.by_name[facts.name] = member
            self._index(member)
            return False
        process = member.process
        changed_ms = member.changed_ms
        has_recovered = member.update(facts, sent_ms, now_ms, self._timeout_ms)
        if member.process != process:
            self._by_key.pop(process_key(process), None)
            self._index(member)
        elif member.changed_ms != changed_ms:
            self.update_count += 1
        return has_recovered

    def record_signs(self, packed: bytes) -> bool:
        """Take signs of life and return whether a silent VM is alive again.

        Processes that are unknown have to be asked for.

        Args:
            packed: The signs, as `pack_signs` writes them.
        """
        now_ms = self._clock.now_ms()
        has_recovered = False
        for sign in unpack_signs(packed):
            member = self._by_key.get(sign.process)
            if member is None:
                self.wanted.add(sign.process)
                continue
            facts = sign.newer_facts(member.facts)
            if facts:
                sent_ms = now_ms - sign.age_ms
                recovered = self.record(facts, sent_ms)
                has_recovered = has_recovered or recovered
        return has_recovered

    def alive(self) -> tuple[MemberFacts, ...]:
        """Return the facts about the VMs that are alive."""
        now_ms = self._clock.now_ms()
        timeout_ms = self._timeout_ms
        return tuple(
            each.facts
            for each in self.by_name.values()
            if each.is_alive(now_ms, timeout_ms)
        )

    def remove(self, name: str) -> None:
        """Forget a VM."""
        gone = self.by_name.pop(name)
        self._by_key.pop(process_key(gone.process), None)

    def next_signs(
        self, facts: Iterable[MemberFacts], count: int
    ) -> list[PackedSign]:
        """Return signs of life for a heartbeat, those told longest ago first.

        Changes of state go ahead of all others.

        Args:
            facts: VMs to choose from.
            count: Largest number of signs.
        """
        now_ms = self._clock.now_ms()
        known = [self.by_name[each.name] for each in facts]
        if len(known) > count:
            known.sort(key=operator.methodcaller('urgency', now_ms))
        chosen = known[:count]
        for member in chosen:
            member.is_told = True
            member.told_ms = now_ms
        return [each.sign(now_ms) for each in chosen]

    def signs(self, facts: Iterable[MemberFacts]) -> list[PackedSign]:
        """Return the newest signs of life of some of the known VMs."""
        now_ms = self._clock.now_ms()
        return [self.by_name[each.name].sign(now_ms) for each in facts]

    def is_recent(self, name: str) -> bool:
        """Return whether others may not know the process of a VM yet."""
        return self._clock.now_ms() - self.by_name[name].known_ms < RECENT_MS

    def facts_of(self, keys: Iterable[int]) -> list[MemberFacts]:
        """Return facts about the known ones of some processes."""
        found = map(self._by_key.get, keys)
        return [each.facts for each in found if each]

    @property
    def _timeout_ms(self) -> int:
        """Time without news after which a VM counts as dead."""
        if len(self.by_name) > MAX_DIRECT_MEMBERS:
            return _GOSSIP_TIMEOUT_MS
        return _HEARTBEAT_TIMEOUT_MS

    def _index(self, member: Member) -> None:
        """Take up a process that was not known before."""
        key = process_key(member.process)
        self._by_key[key] = member
        self.wanted.discard(key)
