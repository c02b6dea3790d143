"""Grants that this entry VM has given to others."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits._grant import Grant

# A holder's clock may run slower than the granter's by this part.
_CLOCK_RATE_MARGIN = 0.01


@final
@attrs.frozen
class HolderLoad:
    """What a holder reported about an upstream.

    Args:
        heard_ms: When the report came in.
        in_flight: Attempts that the holder runs there.
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
    """Keeps lent slots apart until their holder must have stopped.

    The holder counts the life of a grant from before it asked, the granter
    from after it answered and with a margin, so the holder ends first. Long
    requests may outlive a grant: the slots stay lent until the holder reports
    that it runs nothing there.

    Args:
        clock: Source of time.
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
        life_ms: int,
        *,
        is_cross_zone: bool = False,
    ) -> Grant:
        """Lend slots to an entry VM.

        The caller has to check first that the slots are free.

        Args:
            holder: Entry VM that may use them.
            upstream: Upstream whose slots are lent.
            slots: Number of slots.
            life_ms: Life of the grant in milliseconds.
            is_cross_zone: The holder stands in another availability zone.
        """
        now_ms = self._clock.now_ms()
        grant = Grant(
            self._next_id,
            self._granter,
            upstream,
            slots,
            now_ms + life_ms,
        )
        self._next_id += 1
        margin_ms = round(life_ms * _CLOCK_RATE_MARGIN) + 1
        reclaim_after_ms = grant.expires_ms + margin_ms
        self._issued.append(
            _IssuedGrant(grant, holder, reclaim_after_ms, is_cross_zone)
        )
        return grant

    def lent_slots(self, upstream: str) -> int:
        """Return the slots of `upstream` that are lent."""
        if not self._issued:
            return 0
        return sum(
            loan.grant.slots
            for loan in self._issued
            if loan.grant.upstream == upstream
        )

    def lent_to_other_zones(self, upstream: str) -> int:
        """Return the slots of `upstream` that are lent to other zones."""
        if not self._issued:
            return 0
        return sum(
            loan.grant.slots
            for loan in self._issued
            if loan.is_cross_zone and loan.grant.upstream == upstream
        )

    def reclaim_expired(
        self,
        load_of: Callable[[str, str], HolderLoad | None],
    ) -> None:
        """Take back what has expired and is not in use.

        Args:
            load_of: Gives the load that a holder reported for an upstream,
                nothing when the holder is not alive.
        """
        now_ms = self._clock.now_ms()
        self._issued = [
            loan
            for loan in self._issued
            if loan.reclaim_after_ms > now_ms or _may_be_in_use(loan, load_of)
        ]


def _may_be_in_use(
    loan: _IssuedGrant,
    load_of: Callable[[str, str], HolderLoad | None],
) -> bool:
    load = load_of(loan.holder, loan.grant.upstream)
    if load is None:
        return False
    return load.reported_ms <= loan.reclaim_after_ms or load.in_flight > 0
