"""Inference of the requests that are to blame for crashes."""

from collections.abc import Mapping
from typing import Final, final

import attrs

from catkindrift.blame._crash_records import (
    CrashRecords,
    RecordsByUpstream,
)
from catkindrift.blame._fingerprint import without_caller
from catkindrift.blame._verdict import NO_BLAME, Verdict
from catkindrift.blame._whole_responses import WholeResponses

# Number of crashes after which a fingerprint is quarantined.
CRASHES_TO_QUARANTINE: Final = 2
# With this many crashes no coincidence excuses it.
_MAX_EXPLAINED_CRASHES: Final = 2
# A request that ran whole this long before its first crash has probably been
# caught in a mass of crashes, if all of them come within the second time.
_RAN_WHOLE_BEFORE_MS = 60_000
_MASS_CRASH_MS = 1000


@final
@attrs.define(eq=False, repr=False)
class Blame:
    """Tells from crashes and whole responses which requests are to blame.

    Two crashes make a quarantine, unless other requests explain them: each of
    the crashes was shared with one that has enough crashes itself, and whose
    own crashes others don't explain. Explained crashes may still be its own,
    so a request with two of them stays a suspect, and a third one quarantines
    it. One explained crash makes no suspect.

    Args:
        records: Crashes by fingerprint.
        explanations: Blame of the requests that may explain these crashes;
            this itself if None.
        responses: Whole responses by fingerprint.
    """

    records: CrashRecords
    _explanations: 'Blame | None' = None
    responses: WholeResponses = attrs.field(init=False, factory=WholeResponses)
    _candidates: dict[str, RecordsByUpstream] = attrs.field(
        init=False, factory=dict
    )
    _candidate_changes: int = attrs.field(init=False, default=-1)
    _verdicts: dict[str, Verdict] = attrs.field(init=False, factory=dict)
    _verdict_changes: tuple[int, int] = attrs.field(init=False, default=(0, 0))

    def verdict(self, fingerprint: str) -> Verdict:
        """Return what the crashes show about a request.

        Args:
            fingerprint: Fingerprint of the request.
        """
        own = self.records.of_request(fingerprint)
        if not own:
            return NO_BLAME
        source = self._explanations or self
        changes = (self.records.changes, source.records.changes)
        if changes != self._verdict_changes:
            self._verdict_changes = changes
            self._verdicts.clear()
        if fingerprint not in self._verdicts:
            self._verdicts[fingerprint] = self._judge(fingerprint, own)
        return self._verdicts[fingerprint]

    def record_response(self, fingerprint: str, at_ms: int) -> None:
        """Record a whole response; remove the crashes before it."""
        self.responses.record(fingerprint, at_ms)
        if self.records.of_request(fingerprint):
            self.records.clear(fingerprint, at_ms)

    def explain(
        self, fingerprint: str, own: RecordsByUpstream
    ) -> tuple[str, ...]:
        """Return the requests that explain all crashes of another.

        Args:
            fingerprint: Fingerprint with the crashes; the same request of
                other callers explains nothing.
            own: Its records.

        Returns:
            Their fingerprints; empty if any crash is left unexplained.
        """
        proven = {
            other: records
            for other, records in self._explaining(fingerprint, own).items()
            if not is_covered(records, self._explaining(other, records))
        }
        return tuple(proven) if is_covered(own, proven) else ()

    def _judge(self, fingerprint: str, own: RecordsByUpstream) -> Verdict:
        count = self._count(fingerprint, own)
        explained_by: tuple[str, ...] = ()
        if count <= _MAX_EXPLAINED_CRASHES:
            source = self._explanations or self
            explained_by = source.explain(fingerprint, own)
        return Verdict(count, tuple(own), explained_by)

    def _explaining(
        self, fingerprint: str, own: RecordsByUpstream
    ) -> dict[str, RecordsByUpstream]:
        """Return other requests that share a crash and have enough of them.

        Such a request must also have crashed an upstream that isn't in `own`:
        otherwise two fingerprints with the same crashes would explain each
        other.
        """
        request = without_caller(fingerprint)
        return {
            other: records
            for other, records in self._with_enough_crashes().items()
            if without_caller(other) != request
            and not records.keys().isdisjoint(own)
            and not records.keys() <= own.keys()
        }

    def _with_enough_crashes(self) -> dict[str, RecordsByUpstream]:
        """Return the records of requests that have enough for quarantine."""
        if self._candidate_changes != self.records.changes:
            self._candidate_changes = self.records.changes
            self._candidates = {
                fingerprint: records
                for fingerprint, records in self.records.by_request.items()
                if self._count(fingerprint, records) >= CRASHES_TO_QUARANTINE
            }
        return self._candidates

    def _count(self, fingerprint: str, records: RecordsByUpstream) -> int:
        """Count the crashes of a fingerprint, explained or not.

        Those of one mass crash count once for a request that ran whole before.
        """
        times_ms = sorted(
            at_ms
            for record in records.values()
            for at_ms in record.crash_times_ms
        )
        since_ms = times_ms[0] - _RAN_WHOLE_BEFORE_MS
        if not self.responses.has_any_since(fingerprint, since_ms):
            return len(times_ms)
        mass_end_ms = times_ms[0] + _MASS_CRASH_MS
        return 1 + sum(at_ms > mass_end_ms for at_ms in times_ms)


def is_covered(
    own: RecordsByUpstream, others: Mapping[str, RecordsByUpstream]
) -> bool:
    """Return whether each crash is shared with any of the others."""
    return all(
        any(upstream in records for records in others.values())
        for upstream in own
    )
