"""Upstream crashes by request fingerprint and upstream."""

import itertools
from collections.abc import Iterator
from typing import Final, final

import attrs

# Number of crashes after which a fingerprint is quarantined.
CRASHES_TO_QUARANTINE: Final = 2
_MAX_FINGERPRINTS = 10_000
# Reports about one upstream that lie closer together describe the same crash.
_SAME_CRASH_MS = 5000


@final
@attrs.define
class CrashRecord:
    """Crashes of one upstream while it ran requests of one fingerprint.

    Args:
        first_ms: Time of the earliest report.
        last_ms: Time of the latest report.
        is_confirmed: Whether the upstream process is known to have ended.
        can_crash_again: Whether reports that lie far apart mean two crashes.
    """

    first_ms: int
    last_ms: int
    is_confirmed: bool
    can_crash_again: bool

    @property
    def crash_times_ms(self) -> tuple[int, ...]:
        """Times of the crashes; two if the upstream crashed again."""
        span_ms = self.last_ms - self.first_ms
        if self.can_crash_again and span_ms > _SAME_CRASH_MS:
            return (self.first_ms, self.last_ms)
        return (self.first_ms,)


@final
@attrs.define
class CrashRecords:
    """Crash records by fingerprint and upstream, up to a limit.

    Args:
        can_crash_again: Whether an upstream keeps its name across restarts,
            so that one name may crash twice.
    """

    _can_crash_again: bool
    _by_request: dict[str, dict[str, CrashRecord]] = attrs.field(
        init=False,
        factory=dict,
    )

    def has_crashes(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has any crash records."""
        return fingerprint in self._by_request

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has enough crashes to quarantine."""
        return self.crash_count(fingerprint) >= CRASHES_TO_QUARANTINE

    def crash_count(self, fingerprint: str) -> int:
        """Count the crashes of a fingerprint.

        Returns:
            Zero if other fingerprints explain all of its crashes.
        """
        own = self._by_request.get(fingerprint, {})
        if all(self._is_explained(own, upstream) for upstream in own):
            return 0
        return _crashes(own)

    def last_crash_ms(self, fingerprint: str) -> int:
        """Return the time of the newest crash.

        Raises:
            KeyError: The fingerprint has no crash records.
        """
        records = self._by_request[fingerprint].values()
        return max(record.last_ms for record in records)

    def find(self, fingerprint: str, upstream: str) -> CrashRecord | None:
        """Return the record of a fingerprint at an upstream, or None."""
        return self._by_request.get(fingerprint, {}).get(upstream)

    def for_upstream(self, upstream: str) -> list[tuple[str, CrashRecord]]:
        """Return each fingerprint with a record at an upstream, and it."""
        return [
            (fingerprint, records[upstream])
            for fingerprint, records in self._by_request.items()
            if upstream in records
        ]

    def confirmed(self) -> Iterator[tuple[str, str, int]]:
        """Yield the fingerprint, upstream and time of each confirmed crash."""
        for fingerprint, records in self._by_request.items():
            for upstream, seen_ms in _confirmed_times(records):
                yield fingerprint, upstream, seen_ms

    def record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        """Add a crash, or another report of a known crash.

        Args:
            fingerprint: Fingerprint of a request that the upstream ran.
            upstream: Name of the upstream.
            seen_ms: Time of the crash.
            is_confirmed: Whether the upstream process is known to have ended.
        """
        self._evict_oldest()
        records = self._by_request.setdefault(fingerprint, {})
        record = records.setdefault(
            upstream,
            CrashRecord(seen_ms, seen_ms, is_confirmed, self._can_crash_again),
        )
        record.first_ms = min(record.first_ms, seen_ms)
        record.last_ms = max(record.last_ms, seen_ms)
        record.is_confirmed = record.is_confirmed or is_confirmed

    def remove(self, fingerprint: str, upstream: str) -> None:
        """Remove the record of a fingerprint at one upstream, if any."""
        records = self._by_request.get(fingerprint, {})
        records.pop(upstream, None)
        if not records:
            self._by_request.pop(fingerprint, None)

    def remove_fingerprint(self, fingerprint: str) -> None:
        """Remove all records of a fingerprint, if any."""
        self._by_request.pop(fingerprint, None)

    def remove_older_than(self, oldest_ms: int) -> None:
        """Remove fingerprints whose newest crash is before `oldest_ms`."""
        for fingerprint in tuple(self._by_request):
            if self.last_crash_ms(fingerprint) < oldest_ms:
                self.remove_fingerprint(fingerprint)

    def _is_explained(self, own: dict[str, CrashRecord], upstream: str) -> bool:
        """Return whether another fingerprint explains a crash of `upstream`.

        It does if it crashed there too and has enough crashes for quarantine.
        It must also have crashed an upstream that isn't in `own`: otherwise
        two fingerprints with the same crashes would explain each other.
        """
        return any(
            upstream in records
            and _crashes(records) >= CRASHES_TO_QUARANTINE
            and not records.keys() <= own.keys()
            for records in self._by_request.values()
        )

    def _evict_oldest(self) -> None:
        """Remove the oldest fingerprint if full, quarantined ones last."""
        if len(self._by_request) < _MAX_FINGERPRINTS:
            return
        oldest = next(iter(self._by_request))
        others = itertools.filterfalse(self.is_quarantined, self._by_request)
        self.remove_fingerprint(next(others, oldest))


def _crashes(records: dict[str, CrashRecord]) -> int:
    return sum(len(record.crash_times_ms) for record in records.values())


def _confirmed_times(records: dict[str, CrashRecord]) -> list[tuple[str, int]]:
    """Return the upstream and time of each confirmed crash."""
    return [
        (upstream, seen_ms)
        for upstream, record in records.items()
        if record.is_confirmed
        for seen_ms in record.crash_times_ms
    ]
