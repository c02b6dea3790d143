"""Detection of requests that crash upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.retries._crash_records import CrashRecords

_RETENTION_MS = 600_000


@final
@attrs.frozen
class Crash:
    """Crash of an upstream while it ran a request.

    Args:
        fingerprint: Fingerprint of the request.
        upstream: Name of the upstream.
        age_ms: Time since the crash.
    """

    fingerprint: str
    upstream: str
    age_ms: int


@final
@attrs.frozen
class Cleared:
    """Complete response to a suspect request.

    Args:
        fingerprint: Fingerprint of the request.
        age_ms: Time since the response.
    """

    fingerprint: str
    age_ms: int


@final
@attrs.define
class Suspects:
    """Request fingerprints that may crash upstreams, seen by all entry VMs.

    Two crashes put a fingerprint into quarantine: it must not run again. A
    fingerprint with one crash is a suspect and runs only at an upstream that
    runs no other suspect. When an upstream crashes, each entry VM records the
    crash for all requests that it had in flight there. A fingerprint isn't a
    suspect if each of its crashes is explained by another fingerprint that
    has at least two crashes, not all of them shared: it was merely in flight
    at the same time.

    Args:
        clock: Source of time.
        can_crash_again: Whether upstreams keep their names across restarts.
            Only then do reports about one name that lie far apart mean two
            crashes; otherwise the reporting VM was suspended for a time, which
            makes the ages of its reports wrong.
        confirmed_count: Number of crashes that this entry VM has confirmed.
    """

    _clock: Clock
    _can_crash_again: bool = True
    _records: CrashRecords = attrs.field(init=False)
    _cleared: dict[str, int] = attrs.field(init=False, factory=dict)
    _alive_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    confirmed_count: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Create the empty crash records."""
        self._records = CrashRecords(self._can_crash_again)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint may have caused a crash."""
        return self._records.crash_count(fingerprint) > 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        return self._records.is_quarantined(fingerprint)

    def record_crash(
        self,
        fingerprints: Iterable[str],
        upstream: str,
    ) -> frozenset[str]:
        """Record a crash for the requests in flight at an upstream.

        The crash counts on this entry VM at once. It is reported to other
        entry VMs only after `confirm`.

        Args:
            fingerprints: Fingerprints of all requests in flight there.
            upstream: Name of the upstream.

        Returns:
            The fingerprints without duplicates.
        """
        recorded = frozenset(fingerprints)
        now_ms = self._clock.now_ms()
        for fingerprint in sorted(recorded):
            self._record(fingerprint, upstream, now_ms, is_confirmed=False)
        return recorded

    def confirm(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Confirm a recorded crash: the upstream no longer accepts connections.

        Args:
            fingerprints: Fingerprints that `record_crash` returned.
            upstream: Name of the upstream.
        """
        for fingerprint in fingerprints:
            record = self._records.find(fingerprint, upstream)
            if record:
                record.is_confirmed = True
                self.confirmed_count += 1

    def dismiss(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Remove an unconfirmed crash: only a connection failed.

        Args:
            fingerprints: Fingerprints that `record_crash` returned.
            upstream: Name of the upstream, which is still alive.
        """
        for fingerprint in fingerprints:
            record = self._records.find(fingerprint, upstream)
            if record and not record.is_confirmed:
                self._records.remove(fingerprint, upstream)

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a fingerprint that has got a response.

        Quarantined fingerprints keep their crashes.
        """
        if self._records.has_crashes(fingerprint):
            self._clear_at(fingerprint, self._clock.now_ms())

    def record_alive(
        self,
        upstream: str,
        since_ms: int,
        connected_ms: int | None = None,
    ) -> None:
        """Remove the crashes of an upstream that has sent a response.

        Args:
            upstream: Name of the upstream.
            since_ms: When the request of that response was sent. Crashes
                after that time are kept, because the response may have been
                sent before the crash.
            connected_ms: When its connection was opened, if a restart may
                keep the name; None if it never does. Crashes before that
                time are kept, because another process may have responded.
        """
        for fingerprint, record in self._records.for_upstream(upstream):
            is_proven = connected_ms is None or connected_ms < record.first_ms
            if is_proven and record.last_ms < since_ms:
                self._alive_ms[upstream] = since_ms
                self._records.remove(fingerprint, upstream)

    def merge(
        self,
        crashes: Iterable[Crash],
        cleared: Iterable[Cleared] = (),
    ) -> None:
        """Merge the reports of another entry VM.

        Args:
            crashes: Crashes that it knows.
            cleared: Responses to suspects that it knows.
        """
        now_ms = self._clock.now_ms()
        for response in cleared:
            self._clear_at(response.fingerprint, now_ms - response.age_ms)
        for crash in crashes:
            if crash.age_ms < _RETENTION_MS:
                seen_ms = now_ms - crash.age_ms
                self._record(
                    crash.fingerprint,
                    crash.upstream,
                    seen_ms,
                    is_confirmed=True,
                )

    def crashes(self) -> tuple[Crash, ...]:
        """Return the confirmed crashes to report to other entry VMs."""
        self._remove_expired()
        now_ms = self._clock.now_ms()
        return tuple(
            Crash(fingerprint, upstream, now_ms - seen_ms)
            for fingerprint, upstream, seen_ms in self._records.confirmed()
        )

    def cleared(self) -> tuple[Cleared, ...]:
        """Return the responses to suspects to report to other entry VMs."""
        now_ms = self._clock.now_ms()
        return tuple(
            Cleared(fingerprint, now_ms - answered_ms)
            for fingerprint, answered_ms in self._cleared.items()
            if now_ms - answered_ms < _RETENTION_MS
        )

    def _clear_at(self, fingerprint: str, answered_ms: int) -> None:
        if self.is_quarantined(fingerprint):
            return
        last_ms = self._cleared.get(fingerprint, answered_ms)
        self._cleared[fingerprint] = max(last_ms, answered_ms)
        if not self._records.has_crashes(fingerprint):
            return
        if self._records.last_crash_ms(fingerprint) <= answered_ms:
            self._records.remove_fingerprint(fingerprint)

    def _record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        if seen_ms <= self._cleared.get(fingerprint, seen_ms - 1):
            return
        if seen_ms <= self._alive_ms.get(upstream, seen_ms - 1):
            return
        self._records.record(
            fingerprint,
            upstream,
            seen_ms,
            is_confirmed=is_confirmed,
        )

    def _remove_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        self._records.remove_older_than(oldest_ms)
        for times in (self._cleared, self._alive_ms):
            for key, seen_ms in tuple(times.items()):
                if seen_ms < oldest_ms:
                    times.pop(key)
