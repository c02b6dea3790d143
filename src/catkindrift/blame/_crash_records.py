"""Upstream crashes by request fingerprint and upstream."""

from collections.abc import Iterator, Mapping
from typing import TypeAlias, final

import attrs

from catkindrift.blame._crash_record import CrashRecord

RecordsByUpstream: TypeAlias = Mapping[str, CrashRecord]

_MAX_FINGERPRINTS = 10_000


@final
@attrs.define
class CrashRecords:
    """Crash records by fingerprint and upstream, up to a limit.

    Args:
        can_crash_again: Whether an upstream keeps its name across restarts,
            so that one name may crash twice.
        changes: Number of changes so far.
    """

    _can_crash_again: bool
    _by_request: dict[str, dict[str, CrashRecord]] = attrs.field(
        init=False,
        factory=dict,
    )
    _cleared_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    changes: int = attrs.field(init=False, default=0)

    @property
    def by_request(self) -> Mapping[str, RecordsByUpstream]:
        """Records by fingerprint and upstream."""
        return self._by_request

    def of_request(self, fingerprint: str) -> RecordsByUpstream:
        """Return the records of a fingerprint by upstream."""
        return self._by_request.get(fingerprint, {})

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
            for upstream, record in records.items():
                for seen_ms in record.confirmed_times_ms:
                    yield fingerprint, upstream, seen_ms

    def cleared(self) -> Iterator[tuple[str, int]]:
        """Yield each fingerprint that was cleared, and when it last was."""
        yield from self._cleared_ms.items()

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
        if not self.of_request(fingerprint):
            self._evict_oldest()
        records = self._by_request.setdefault(fingerprint, {})
        record = records.get(upstream)
        if record is None:
            records[upstream] = CrashRecord(
                seen_ms, seen_ms, is_confirmed, self._can_crash_again
            )
            self.changes += 1
            return
        known_ms = record.crash_times_ms
        record.first_ms = min(record.first_ms, seen_ms)
        record.last_ms = max(record.last_ms, seen_ms)
        record.is_confirmed = record.is_confirmed or is_confirmed
        self.changes += record.crash_times_ms != known_ms

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

    def clear(self, fingerprint: str, answered_ms: int) -> None:
        """Remove the crashes of a fingerprint that has got a response.

        Args:
            fingerprint: Fingerprint of the request.
            answered_ms: Time of the response; later crashes are kept.
        """
        last_ms = self._cleared_ms.get(fingerprint, answered_ms)
        self._cleared_ms[fingerprint] = max(last_ms, answered_ms)
        records = self._by_request.get(fingerprint, {})
        if all(each.last_ms <= answered_ms for each in records.values()):
            self._by_request.pop(fingerprint, None)
            self.changes += 1

    def remove(self, fingerprint: str, upstream: str) -> None:
        """Remove the record of a fingerprint at one upstream, if any."""
        self.changes += 1
        records = self._by_request.get(fingerprint, {})
        records.pop(upstream, None)
        if not records:
            self._by_request.pop(fingerprint, None)

    def remove_older_than(self, oldest_ms: int) -> None:
        """Remove fingerprints whose newest crash is before `oldest_ms`."""
        for fingerprint, records in tuple(self._by_request.items()):
            if all(each.last_ms < oldest_ms for each in records.values()):
                self._by_request.pop(fingerprint, None)
                self.changes += 1
        for fingerprint, cleared_ms in tuple(self._cleared_ms.items()):
            if cleared_ms < oldest_ms:
                self._cleared_ms.pop(fingerprint)

    def _evict_oldest(self) -> None:
        """Remove the oldest fingerprint if full, one with one crash first."""
        if len(self._by_request) < _MAX_FINGERPRINTS:
            return
        oldest = next(iter(self._by_request))
        singles = (
            fingerprint
            for fingerprint, records in self._by_request.items()
            if len(records) == 1
        )
        self._by_request.pop(next(singles, oldest))
