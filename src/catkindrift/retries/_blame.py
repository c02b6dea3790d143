"""Inference of the requests that are to blame for crashes."""

from typing import Final, final

import attrs

from catkindrift.retries._crash_records import (
    CrashRecords,
    RecordsByUpstream,
)
from catkindrift.retries._fingerprint import without_caller
from catkindrift.retries._whole_responses import WholeResponses

# Number of crashes after which a fingerprint is quarantined.
CRASHES_TO_QUARANTINE: Final = 2
# A request that ran whole this long before its first crash has probably been
# caught in a mass of crashes, if all of them come within the second time.
_RAN_WHOLE_BEFORE_MS = 60_000
_MASS_CRASH_MS = 1000


@final
@attrs.define(eq=False)
class Blame:
    """Tells from crashes and whole responses which requests are to blame.

    Args:
        records: Crashes by fingerprint.
        explanations: Blame of the requests that may explain these crashes;
            this itself if None.
        responses: Whole responses by fingerprint.
    """

    records: CrashRecords
    _explanations: 'Blame | None' = None
    responses: WholeResponses = attrs.field(init=False, factory=WholeResponses)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint may have caused a crash."""
        return self._crash_count(fingerprint) > 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has enough crashes to quarantine."""
        return self._crash_count(fingerprint) >= CRASHES_TO_QUARANTINE

    def record_response(self, fingerprint: str, at_ms: int) -> None:
        """Record a whole response; remove the crashes before it."""
        self.responses.record(fingerprint, at_ms)
        if self.records.of_request(fingerprint):
            self.records.clear(fingerprint, at_ms)

    def may_explain(
        self, fingerprint: str, own: RecordsByUpstream
    ) -> list[RecordsByUpstream]:
        """Return the records of other requests that may explain crashes.

        Such a request has enough crashes for quarantine. It must also have
        crashed an upstream that isn't in `own`: otherwise two fingerprints
        with the same crashes would explain each other.

        Args:
            fingerprint: Fingerprint with the crashes; the same request of
                other callers explains nothing.
            own: Its records.
        """
        request = without_caller(fingerprint)
        return [
            records
            for other, records in self.records.by_request.items()
            if self._count(other, records) >= CRASHES_TO_QUARANTINE
            and not records.keys() <= own.keys()
            and without_caller(other) != request
        ]

    def _crash_count(self, fingerprint: str) -> int:
        """Count the crashes of a fingerprint; 0 if others explain them all."""
        own = self.records.of_request(fingerprint)
        explanations = (self._explanations or self).may_explain(
            fingerprint, own
        )
        if all(
            any(upstream in records for records in explanations)
            for upstream in own
        ):
            return 0
        return self._count(fingerprint, own)

    def _count(self, fingerprint: str, records: RecordsByUpstream) -> int:
        """Count the crashes of a fingerprint, explained or not.

        Those of one mass crash count once for a request that ran whole before.
        """
        times_ms = sorted(
            at_ms
            for record in records.values()
            for at_ms in record.crash_times_ms
        )
        if not times_ms:
            return 0
        since_ms = times_ms[0] - _RAN_WHOLE_BEFORE_MS
        if not self.responses.has_any_since(fingerprint, since_ms):
            return len(times_ms)
        mass_end_ms = times_ms[0] + _MASS_CRASH_MS
        return 1 + sum(at_ms > mass_end_ms for at_ms in times_ms)
