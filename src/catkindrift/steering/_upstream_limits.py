"""Limits that upstreams name, shared by all entry VMs."""

from collections.abc import Iterable
from typing import final

import attrs
import xxhash

from catkindrift.clock import Clock
from catkindrift.rendezvous import rendezvous_order
from catkindrift.steering._limit_change import LimitChange
from catkindrift.steering._limit_notice import LimitNotice
from catkindrift.steering._limit_share import (
    WINDOW_MS,
    LimitShare,
    mean_interval_ms,
)

# Limit on notices in one heartbeat; each takes about 45 bytes.
_MAX_NOTICES = 8
_MAX_NOTICE_AGE_MS = 60_000
# A notice that is passed on counts as so much older, more than the way takes,
# so that it never looks newer than it is.
_RELAY_AGE_MS = 50
# Notices that are passed on count as newer only by this time: one that comes
# back must not count as evidence of its own.
_RELAY_TOLERANCE_MS = 500
_HASH_BITS = 64
# Interval at which a VM that doesn't know the others looks for its share.
_UNKNOWN_SHARE_WAIT_MS = 1000


@final
@attrs.define
class _KnownLimit:
    """Newest evidence about one upstream; `per_second` None: no limit."""

    per_second: float | None
    seen_ms: int
    since_ms: int
    is_own: bool


@final
@attrs.define(eq=False, repr=False)
class UpstreamLimits:
    """Keeps this entry VM within its share of each limit.

    The shares are computed locally from the names of all entry VMs that may
    be alive, so placing a request needs no call.

    Args:
        clock: Source of time.
        own_name: Name of this entry VM.
    """

    _clock: Clock
    _own_name: str
    _members: tuple[str, ...] = attrs.field(init=False, default=())
    _sharing_from_ms: int = attrs.field(init=False, default=0)
    _known: dict[str, _KnownLimit] = attrs.field(init=False, factory=dict)
    _sent_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _shares: dict[tuple[str, float], LimitShare] = attrs.field(
        init=False, factory=dict
    )
    _started_ms: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the start of this process, before which others are unknown."""
        self._started_ms = self._clock.now_ms()

    @property
    def limited_count(self) -> int:
        """Number of upstreams that have a limit."""
        return sum(
            known.per_second is not None for known in self._known.values()
        )

    def update_members(
        self, members: tuple[str, ...], sharing_from_ms: int = 0
    ) -> None:
        """Set the names of all entry VMs that share the limits.

        Args:
            members: Names of all VMs that may send requests, also of silent
                ones. Without names this VM has no share.
            sharing_from_ms: Time from which the names can be known.
        """
        self._sharing_from_ms = sharing_from_ms
        if members != self._members:
            self._members = members
            self._shares.clear()

    def per_second(self, incarnation: str) -> float | None:
        """Return the limit of an upstream, or None if it has none."""
        known = self._known.get(incarnation)
        return known.per_second if known else None

    def wait_ms(self, incarnation: str) -> float:
        """Return when this VM may send to an upstream, 0 if it may now."""
        known = self._known.get(incarnation)
        if known is None or known.per_second is None:
            return 0
        share = self._share(incarnation, known.per_second)
        sent_ms = self._sent_ms.get(incarnation)
        interval_ms = share.interval_ms
        if sent_ms is None:
            # An earlier process of this VM may have sent until it ended.
            sent_ms = self._started_ms
            interval_ms = max(interval_ms, WINDOW_MS)
        if share.is_probe and sent_ms < known.since_ms:
            # VMs that learn of a limit together don't probe together.
            sent_ms = known.since_ms
            interval_ms *= self._own_fraction(incarnation)
        now_ms = self._clock.now_ms()
        wait_ms = sent_ms + interval_ms - now_ms
        if self._members:
            return max(0, wait_ms)
        settling_ms = max(0, self._sharing_from_ms - now_ms)
        return max(settling_ms + _UNKNOWN_SHARE_WAIT_MS, wait_ms)

    def retry_after_ms(self, incarnation: str) -> float:
        """Return when some entry VM is expected to take a request."""
        known = self._known.get(incarnation)
        if known is None or known.per_second is None:
            return 0
        if self._share(incarnation, known.per_second).is_probe:
            return mean_interval_ms(known.per_second)
        return self.wait_ms(incarnation)

    def count_request(self, incarnation: str) -> None:
        """Count a request that is sent to an upstream, limited or not."""
        self._sent_ms[incarnation] = self._clock.now_ms()

    def record(
        self, incarnation: str, per_second: float | None, sent_ms: int
    ) -> LimitChange:
        """Record the limit in a response, or that it names none.

        Args:
            incarnation: Incarnation of the upstream.
            per_second: Limit in the response; None if there is none.
            sent_ms: When the request was sent. What was sent before the
                newest evidence can't contradict it.
        """
        known = self._known.get(incarnation)
        before = known.per_second if known else None
        if per_second is None and before is None:
            return LimitChange.NONE
        is_contradiction = (per_second is None) != (before is None)
        if known and is_contradiction and sent_ms <= known.seen_ms:
            return LimitChange.NONE
        self._put(incarnation, per_second, self._clock.now_ms(), is_own=True)
        if per_second is None:
            return LimitChange.ENDED
        if before is None:
            return LimitChange.NAMED
        return LimitChange.NONE if before == per_second else LimitChange.CHANGED

    def merge(
        self, notices: Iterable[LimitNotice], *, are_relayed: bool = False
    ) -> None:
        """Merge what other entry VMs have seen themselves.

        Args:
            notices: What they have seen.
            are_relayed: Whether others have passed it on.
        """
        tolerance_ms = _RELAY_TOLERANCE_MS if are_relayed else 0
        for notice in notices:
            seen_ms = self._clock.now_ms() - notice.age_ms
            known = self._known.get(notice.incarnation)
            if known is None or seen_ms > known.seen_ms + tolerance_ms:
                self._put(
                    notice.incarnation,
                    notice.per_second,
                    seen_ms,
                    is_own=False,
                )

    def notices(self, *, are_own: bool = True) -> tuple[LimitNotice, ...]:
        """Return what this VM has seen itself, or has from others.

        The newest come first. What it has from others is passed on only where
        membership goes by zone: there most VMs never hear the one that has
        seen a limit.

        Args:
            are_own: Whether to return what this VM has seen itself.
        """
        now_ms = self._clock.now_ms()
        extra_ms = 0 if are_own else _RELAY_AGE_MS
        found = [
            LimitNotice(
                incarnation,
                known.per_second,
                now_ms - known.seen_ms + extra_ms,
            )
            for incarnation, known in self._known.items()
            if known.is_own == are_own
            and now_ms - known.seen_ms < _MAX_NOTICE_AGE_MS
        ]
        found.sort(key=_age_ms)
        return tuple(found[:_MAX_NOTICES])

    def keep_only(self, incarnations: frozenset[str]) -> None:
        """Drop all upstreams except `incarnations`."""
        for known in (self._known, self._sent_ms):
            for removed in known.keys() - incarnations:
                known.pop(removed)
        self._shares.clear()

    def _put(
        self,
        incarnation: str,
        per_second: float | None,
        seen_ms: int,
        *,
        is_own: bool,
    ) -> None:
        known = self._known.get(incarnation)
        since_ms = self._clock.now_ms()
        if known and known.per_second is not None:
            since_ms = known.since_ms
        self._known[incarnation] = _KnownLimit(
            per_second, seen_ms, since_ms, is_own
        )

    def _share(self, incarnation: str, per_second: float) -> LimitShare:
        share = self._shares.get((incarnation, per_second))
        if share is None:
            names = {self._own_name, *self._members}
            rank = rendezvous_order(incarnation, names).index(self._own_name)
            share = LimitShare.of(per_second, rank, len(names))
            self._shares[incarnation, per_second] = share
        return share

    def _own_fraction(self, incarnation: str) -> float:
        """Return a fraction from 0 to 1 that differs between entry VMs."""
        identity = f'{incarnation}/{self._own_name}'.encode()
        return xxhash.xxh3_64_intdigest(identity) / (1 << _HASH_BITS)


def _age_ms(notice: LimitNotice) -> int:
    return notice.age_ms
