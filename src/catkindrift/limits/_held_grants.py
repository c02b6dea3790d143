"""Grants that this entry VM holds from others."""

from collections import Counter
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits._grant import Grant


@final
@attrs.define
class HeldGrants:
    """Counts the borrowed slots that may be used now.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _grants: dict[tuple[str, int], Grant] = attrs.field(
        init=False,
        factory=dict,
    )

    def add(self, grant: Grant) -> None:
        """Keep a grant; one of the same granter and id is replaced."""
        self._grants[grant.granter, grant.grant_id] = grant

    def borrowed_slots(self, upstream: str) -> int:
        """Return the borrowed slots of `upstream` that have not expired."""
        if not self._grants:
            return 0
        return sum(
            grant.slots
            for grant in self._active_grants()
            if grant.upstream == upstream
        )

    def slots_by_upstream(self) -> Counter[str]:
        """Return borrowed slots by upstream."""
        borrowed: Counter[str] = Counter()
        for grant in self._active_grants():
            borrowed[grant.upstream] += grant.slots
        return borrowed

    def forget_granter(self, granter: str) -> None:
        """Drop all grants of an entry VM that restarted."""
        self._grants = {
            key: grant
            for key, grant in self._grants.items()
            if grant.granter != granter
        }

    def _active_grants(self) -> list[Grant]:
        now_ms = self._clock.now_ms()
        self._grants = {
            key: grant
            for key, grant in self._grants.items()
            if grant.expires_ms > now_ms
        }
        return list(self._grants.values())
