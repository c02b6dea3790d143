"""Recognition of requests that crash upstreams."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.retries._crash_records import CrashRecords

_RETENTION_MS = 600_000


@final
@attrs.frozen
class Crash:
    """An upstream broke off while it ran a request.

    Args:
        fingerprint: Digest of the request.
        upstream: The upstream.
        age_ms: Time since the crash.
    """

    fingerprint: str
    upstream: str
    age_ms: int


@final
@attrs.frozen
class Cleared:
    """A suspected request was answered.

    Args:
        fingerprint: Digest of the request.
        age_ms: Time since the answer.
    """

    fingerprint: str
    age_ms: int


@final
@attrs.define
class Suspects:
    """Crashes by request fingerprint, from all entry VMs.

    Two crashes under one fingerprint put it into quarantine. A fingerprint
    with one crash is a suspect: it runs only where no other suspect runs. All
    requests that an upstream ran when it ended are blamed, by each entry VM
    for itself. A fingerprint that merely ran beside others is no suspect: each
    of its crashes was one of another that has two or more, not all of which it
    shares.

    Args:
        clock: Source of time.
        can_crash_again: Whether upstreams keep their names when they start
            again. Ages of reports are wrong by the time for which a VM stood
            still, so only then do distant reports of one name mean two
            crashes.
    """

    _clock: Clock
    _can_crash_again: bool = True
    _records: CrashRecords = attrs.field(init=False)
    _cleared: dict[str, int] = attrs.field(init=False, factory=dict)
    _alive_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    confirmed_count: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Start without crashes."""
        self._records = CrashRecords(self._can_crash_again)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint may be to blame for a crash."""
        return self._records.crash_count(fingerprint) > 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        return self._records.is_quarantined(fingerprint)

    def record_crash(
        self,
        fingerprints: Iterable[str],
        upstream: str,
    ) -> frozenset[str]:
        """Blame the requests that an upstream ran when it broke off.

        The blame counts here at once; other entry VMs hear of it when
        `confirm` is called.

        Args:
            fingerprints: All requests that ran there.
            upstream: The upstream.

        Returns:
            The blamed fingerprints.
        """
        blamed = frozenset(fingerprints)
        now_ms = self._clock.now_ms()
        for fingerprint in sorted(blamed):
            self._record(fingerprint, upstream, now_ms, is_confirmed=False)
        return blamed

    def confirm(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Keep the blame: the upstream takes no connections any more."""
        for fingerprint in fingerprints:
            record = self._records.find(fingerprint, upstream)
            if record:
                record.is_confirmed = True
                self.confirmed_count += 1

    def dismiss(self, fingerprints: Iterable[str], upstream: str) -> None:
        """Drop the blame: only a connection broke, the upstream goes on."""
        for fingerprint in fingerprints:
            record = self._records.find(fingerprint, upstream)
            if record and not record.is_confirmed:
                self._records.remove(fingerprint, upstream)

    def clear(self, fingerprint: str) -> None:
        """Forget the blame of what was answered, unless it is quarantined."""
        if self._records.has_crashes(fingerprint):
            self._clear_at(fingerprint, self._clock.now_ms())

    def record_alive(self, upstream: str, since_ms: int) -> None:
        """Take back the blame for an upstream that answers.

        Only for upstreams whose name changes with each start.

        Args:
            upstream: The upstream.
            since_ms: When it was sent the request that it has answered.
        """
        for fingerprint, record in self._records.for_upstream(upstream):
            if record.last_ms < since_ms:
                self._alive_ms[upstream] = since_ms
                self._records.remove(fingerprint, upstream)

    def merge(
        self,
        crashes: Iterable[Crash],
        cleared: Iterable[Cleared] = (),
    ) -> None:
        """Take over what another entry VM saw."""
        now_ms = self._clock.now_ms()
        for answer in cleared:
            self._clear_at(answer.fingerprint, now_ms - answer.age_ms)
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
        """Return the confirmed crashes, for other entry VMs."""
        self._remove_expired()
        now_ms = self._clock.now_ms()
        return tuple(
            Crash(fingerprint, upstream, now_ms - seen_ms)
            for fingerprint, upstream, seen_ms in self._records.confirmed()
        )

    def cleared(self) -> tuple[Cleared, ...]:
        """Return answers to suspects, for other entry VMs."""
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
