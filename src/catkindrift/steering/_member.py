"""What is known of one other entry VM."""

from typing import final

import attrs

from catkindrift.steering._heartbeat import MemberFacts
from catkindrift.steering._packed_signs import PackedSign, process_key

# What others report of a VM may be new here and old all the same.
_MAX_AGE_MS = 5000
# Updates are passed on ahead of all else for this time: by then they have had
# four intervals of 500 ms to reach every VM.
RECENT_MS = 2000


@final
@attrs.define(eq=False, repr=False)
class Member:
    """What is known of one other entry VM.

    Args:
        facts: Its newest facts.
        updated_ms: When they were learned.
        sent_ms: When the VM has sent them.
    """

    facts: MemberFacts
    updated_ms: int
    sent_ms: int
    process: int = attrs.field(init=False)
    # When the process was first known, and when its state changed here.
    known_ms: int = attrs.field(init=False)
    changed_ms: int = attrs.field(init=False)
    # Whether a heartbeat of this VM has carried the newest sign of life, and
    # when the last one carried any.
    is_told: bool = attrs.field(init=False, default=False)
    told_ms: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Identify the process."""
        self.process = self.facts.process
        self.known_ms = self.updated_ms
        self.changed_ms = self.updated_ms

    def update(
        self, facts: MemberFacts, sent_ms: int, now_ms: int, timeout_ms: int
    ) -> bool:
        """Take newer facts and return whether the VM has become alive."""
        known = self.facts
        if facts.version <= known.version:
            return False
        if facts.started_ms != known.started_ms:
            self.process = facts.process
            self.known_ms = now_ms
            self.changed_ms = now_ms
        elif known.by_zone and not facts.by_zone:
            # VMs of an older version pass facts on without this field.
            facts = attrs.evolve(facts, by_zone=True)
        was_alive = self.is_alive(now_ms, timeout_ms)
        self.facts = facts
        self.updated_ms = now_ms
        self.sent_ms = max(self.sent_ms, sent_ms)
        self.is_told = False
        has_recovered = self.is_alive(now_ms, timeout_ms) and not was_alive
        if facts.can_serve != known.can_serve:
            self.changed_ms = now_ms
        return has_recovered

    def is_alive(self, now_ms: int, timeout_ms: int) -> bool:
        """Return whether the VM was heard of lately."""
        return (
            now_ms - self.updated_ms < timeout_ms
            and now_ms - self.sent_ms < _MAX_AGE_MS
        )

    def urgency(self, now_ms: int) -> tuple[bool, bool, int]:
        """Return the rank of the newest sign of life, the lowest first."""
        is_old = now_ms - self.changed_ms >= RECENT_MS
        return (is_old, self.is_told, self.told_ms)

    def sign(self, now_ms: int) -> PackedSign:
        """Return the newest sign of life of the VM."""
        facts = self.facts
        return PackedSign(
            process_key(self.process),
            facts.count,
            facts.is_ready,
            facts.reaches_upstreams,
            now_ms - self.sent_ms,
        )
