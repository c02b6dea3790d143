"""Detection of requests that crash upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.blame._blame import Blame
from catkindrift.blame._crash_records import CrashRecords
from catkindrift.blame._fingerprint import without_caller
from catkindrift.blame._verdict import Verdict
from catkindrift.clock import Clock

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
    crash for all requests that it had in flight there.

    Crashes count for the request of that caller and for the same request of
    any caller, since repeats may come from other addresses. A response clears
    both, so a request that most callers run whole is held against none but
    the caller with whom it crashes upstreams. Crashes that come together count
    once for a request that ran whole shortly before.

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
    _by_caller: Blame = attrs.field(init=False)
    _of_all_callers: Blame = attrs.field(init=False)
    _alive_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    confirmed_count: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Create the empty crash records."""
        self._of_all_callers = Blame(CrashRecords(self._can_crash_again))
        self._by_caller = Blame(
            CrashRecords(self._can_crash_again), self._of_all_callers
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint may have caused a crash."""
        return self.verdict(fingerprint).is_suspect

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        return self.verdict(fingerprint).is_quarantined

    def verdict(self, fingerprint: str) -> Verdict:
        """Return what the crashes show about a request, with the reasons.

        Args:
            fingerprint: Fingerprint of the request.
        """
        verdicts = (
            blame.verdict(key) for blame, key in self._scopes(fingerprint)
        )
        return max(verdicts, key=_severity)

    def record_crash(
        self,
        fingerprints: Iterable[str],
        upstream: str,
        at_ms: int | None = None,
    ) -> frozenset[str]:
        """Record a crash for the requests in flight at an upstream.

        The crash counts on this entry VM at once. It is reported to other
        entry VMs only after `confirm`.

        Args:
            fingerprints: Fingerprints of all requests in flight there.
            upstream: Name of the upstream.
            at_ms: Time of the crash; None for now.

        Returns:
            The fingerprints without duplicates.
        """
        recorded = frozenset(fingerprints)
        seen_ms = self._clock.now_ms() if at_ms is None else at_ms
        for fingerprint in sorted(recorded):
            self._record(fingerprint, upstream, seen_ms, is_confirmed=False)
        return recorded

    def confirm(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Confirm a recorded crash: the upstream no longer accepts connections.

        Args:
            fingerprints: Fingerprints that `record_crash` returned.
            upstream: Name of the upstream.
        """
        for fingerprint in fingerprints:
            confirmed = [
                blame.records.confirm(key, upstream)
                for blame, key in self._scopes(fingerprint)
            ]
            self.confirmed_count += any(confirmed)

    def dismiss(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Remove an unconfirmed crash: only a connection failed.

        Args:
            fingerprints: Fingerprints that `record_crash` returned.
            upstream: Name of the upstream, which is still alive.
        """
        for fingerprint in fingerprints:
            for blame, key in self._scopes(fingerprint):
                blame.records.dismiss(key, upstream)

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a fingerprint that has got a response."""
        now_ms = self._clock.now_ms()
        for blame, key in self._scopes(fingerprint):
            blame.record_response(key, now_ms)

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
        for blame in (self._by_caller, self._of_all_callers):
            for key, record in blame.records.for_upstream(upstream):
                is_proven = (
                    connected_ms is None or connected_ms < record.first_ms
                )
                if is_proven and record.last_ms < since_ms:
                    self._alive_ms[upstream] = since_ms
                    blame.records.remove(key, upstream)

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
            for blame, key in self._scopes(response.fingerprint):
                blame.records.clear(key, now_ms - response.age_ms)
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
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - _RETENTION_MS
        for blame in (self._by_caller, self._of_all_callers):
            blame.records.remove_older_than(oldest_ms)
        self._alive_ms = {
            upstream: alive_ms
            for upstream, alive_ms in self._alive_ms.items()
            if alive_ms >= oldest_ms
        }
        confirmed = self._by_caller.records.confirmed()
        return tuple(
            Crash(fingerprint, upstream, now_ms - seen_ms)
            for fingerprint, upstream, seen_ms in confirmed
        )

    def cleared(self) -> tuple[Cleared, ...]:
        """Return the responses to suspects to report to other entry VMs."""
        now_ms = self._clock.now_ms()
        return tuple(
            Cleared(fingerprint, now_ms - answered_ms)
            for fingerprint, answered_ms in self._by_caller.records.cleared()
            if now_ms - answered_ms < _RETENTION_MS
        )

    def _scopes(self, fingerprint: str) -> tuple[tuple[Blame, str], ...]:
        """Return the blame that a fingerprint counts in, with its key there."""
        return (
            (self._by_caller, fingerprint),
            (self._of_all_callers, without_caller(fingerprint)),
        )

    def _record(
        self,
        fingerprint: str,
        upstream: str,
        seen_ms: int,
        *,
        is_confirmed: bool,
    ) -> None:
        if seen_ms <= self._alive_ms.get(upstream, seen_ms - 1):
            return
        for blame, key in self._scopes(fingerprint):
            if blame.responses.has_any_since(key, seen_ms):
                continue
            blame.records.record(
                key, upstream, seen_ms, is_confirmed=is_confirmed
            )


def _severity(verdict: Verdict) -> tuple[bool, bool, int]:
    return (verdict.is_quarantined, verdict.is_suspect, verdict.crash_count)
