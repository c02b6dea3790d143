"""Upstream crashes by request fingerprint and upstream."""

import itertools
from collections.abc import Iterator
from typing import Final, final

import attrs

from catkindrift.retries._fingerprint import without_caller

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
        explanations: Records whose fingerprints may explain crashes of those
            in this; this itself by default.
    """

    _can_crash_again: bool
    _explanations: 'CrashRecords | None' = attrs.field(default=None, repr=False)
    _by_request: dict[str, dict[str, CrashRecord]] = attrs.field(
        init=False,
        factory=dict,
    )
    _cleared_ms: dict[str, int] = attrs.field(init=False, factory=dict)

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
        source = self._explanations or self
        explanations = source.may_explain(fingerprint, own)
        if all(
            any(upstream in records for records in explanations)
            for upstream in own
        ):
            return 0
        return _crashes(own)

    def may_explain(
        self, fingerprint: str, own: dict[str, CrashRecord]
    ) -> list[dict[str, CrashRecord]]:
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
            for other, records in self._by_request.items()
            if _crashes(records) >= CRASHES_TO_QUARANTINE
            and not records.keys() <= own.keys()
            and without_caller(other) != request
        ]

    def confirm(self, fingerprint: str, upstream: str) -> bool:
        """Confirm a crash, and return whether it is known."""
        record = self._by_request.get(fingerprint, {}).get(upstream)
        if record is None:
            return False
        record.is_confirmed = True
        return True

    def dismiss(self, fingerprint: str, upstream: str) -> None:
        """Remove a crash unless it is confirmed."""
        record = self._by_request.get(fingerprint, {}).get(upstream)
        if record and not record.is_confirmed:
            self.remove(fingerprint, upstream)

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

    def cleared(self) -> Iterator[tuple[str, int]]:
        """Yield each fingerprint that was cleared, and when it last was."""
        yield from self._cleared_ms.items()

    def clear(self, fingerprint: str, answered_ms: int) -> None:
        """Remove the crashes of a fingerprint that has got a response.

        Quarantined fingerprints keep their crashes.

        Args:
            fingerprint: Fingerprint of the request.
            answered_ms: Time of the response; later crashes are kept.
        """
        if self.is_quarantined(fingerprint):
            return
        last_ms = self._cleared_ms.get(fingerprint, answered_ms)
        self._cleared_ms[fingerprint] = max(last_ms, answered_ms)
        records = self._by_request.get(fingerprint, {})
        if all(each.last_ms <= answered_ms for each in records.values()):
            self._by_request.pop(fingerprint, None)

    def record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        """Add a crash, or another report of a known crash.

        A crash from before the fingerprint was cleared isn't added.

        Args:
            fingerprint: Fingerprint of a request that the upstream ran.
            upstream: Name of the upstream.
            seen_ms: Time of the crash.
            is_confirmed: Whether the upstream process is known to have ended.
        """
        if seen_ms <= self._cleared_ms.get(fingerprint, seen_ms - 1):
            return
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

    def remove_older_than(self, oldest_ms: int) -> None:
        """Remove fingerprints whose newest crash is before `oldest_ms`."""
        for fingerprint, records in tuple(self._by_request.items()):
            if all(each.last_ms < oldest_ms for each in records.values()):
                self._by_request.pop(fingerprint, None)
        for fingerprint, cleared_ms in tuple(self._cleared_ms.items()):
            if cleared_ms < oldest_ms:
                self._cleared_ms.pop(fingerprint)

    def _evict_oldest(self) -> None:
        """Remove the oldest fingerprint if full, quarantined ones last."""
        if len(self._by_request) < _MAX_FINGERPRINTS:
            return
        oldest = next(iter(self._by_request))
        others = itertools.filterfalse(self.is_quarantined, self._by_request)
        self._by_request.pop(next(others, oldest), None)


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
