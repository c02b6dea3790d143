"""Grants that this entry VM gave to others."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits._grant import Grant

# A holder's clock may run slower than the granter's by this fraction.
_CLOCK_RATE_MARGIN = 0.01


@final
@attrs.frozen
class HolderLoad:
    """Load of an upstream as the holder of a grant last reported it.

    Args:
        reported_ms: Monotonic time at which the report was received.
        in_flight: Number of attempts that the holder runs there.
    """

    reported_ms: int
    in_flight: int


@final
@attrs.frozen
class _IssuedGrant:
    grant: Grant
    holder: str
    reclaim_after_ms: int
    is_cross_zone: bool


@final
@attrs.define
class IssuedGrants:
    """Tracks lent slots until the holder can no longer use them.

    The holder measures the lifetime of a grant from before it sent its
    request, the granter from when it issues the grant and with a margin for
    clock drift, so a grant expires at the holder first. Long requests can
    outlive a grant: the slots stay lent until the holder reports, after the
    expiry, that it has no request in flight there, or until it is not alive.

    Args:
        clock: Source of monotonic time.
        granter: Name of this entry VM.
        next_id: First grant id; differs between incarnations.
    """

    _clock: Clock
    _granter: str
    _next_id: int
    _issued: list[_IssuedGrant] = attrs.field(init=False, factory=list)

    def lend(
        self,
        holder: str,
        upstream: str,
        slots: int,
        lifetime_ms: int,
        *,
        is_cross_zone: bool = False,
    ) -> Grant:
        """Lend slots to another entry VM.

        This does not check that the slots are free; do so before the call.

        Args:
            holder: Entry VM that may use the slots.
            upstream: Upstream whose slots are lent.
            slots: Number of slots.
            lifetime_ms: Lifetime of the grant in milliseconds.
            is_cross_zone: Whether the holder is in another availability
                zone.

        Returns:
            The grant to send to the holder.
        """
        now_ms = self._clock.now_ms()
        grant = Grant(
            self._next_id,
            self._granter,
            upstream,
            slots,
            now_ms + lifetime_ms,
        )
        self._next_id += 1
        margin_ms = round(lifetime_ms * _CLOCK_RATE_MARGIN) + 1
        reclaim_after_ms = grant.expires_ms + margin_ms
        self._issued.append(
            _IssuedGrant(grant, holder, reclaim_after_ms, is_cross_zone)
        )
        return grant

    def lent_slots(self, upstream: str) -> int:
        """Return the number of slots of `upstream` that are lent."""
        if not self._issued:
            return 0
        return sum(
            issued.grant.slots
            for issued in self._issued
            if issued.grant.upstream == upstream
        )

    def lent_to_other_zones(self, upstream: str) -> int:
        """Return the number of slots of `upstream` lent to other zones."""
        if not self._issued:
            return 0
        return sum(
            issued.grant.slots
            for issued in self._issued
            if issued.is_cross_zone and issued.grant.upstream == upstream
        )

    def reclaim_expired(
        self,
        load_of: Callable[[str, str], HolderLoad | None],
    ) -> None:
        """Take back the slots of expired grants that are no longer in use.

        Args:
            load_of: Returns the load that a holder last reported for an
                upstream, or None when the holder is not alive.
        """
        now_ms = self._clock.now_ms()
        self._issued = [
            issued
            for issued in self._issued
            if issued.reclaim_after_ms > now_ms
            or _may_be_in_use(issued, load_of)
        ]


def _may_be_in_use(
    issued: _IssuedGrant,
    load_of: Callable[[str, str], HolderLoad | None],
) -> bool:
    load = load_of(issued.holder, issued.grant.upstream)
    if load is None:
        return False
    return load.reported_ms <= issued.reclaim_after_ms or load.in_flight > 0
