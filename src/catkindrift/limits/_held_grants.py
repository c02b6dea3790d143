"""Grants that other entry VMs gave to this one."""

from collections import Counter
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.limits._grant import Grant


@final
@attrs.define
class HeldGrants:
    """Tracks the slots borrowed from other entry VMs until they expire.

    Args:
        clock: Source of monotonic time.
    """

    _clock: Clock
    _grants: dict[tuple[str, int], Grant] = attrs.field(
        init=False,
        factory=dict,
    )

    def add(self, grant: Grant) -> None:
        """Add a grant, replacing one with the same granter and id."""
        self._grants[grant.granter, grant.grant_id] = grant

    def borrowed_slots(self, upstream: str) -> int:
        """Return the number of unexpired borrowed slots of `upstream`."""
        if not self._grants:
            return 0
        return sum(
            grant.slots
            for grant in self._active_grants()
            if grant.upstream == upstream
        )

    def slots_by_upstream(self) -> Counter[str]:
        """Return the unexpired borrowed slots, keyed by upstream name."""
        borrowed: Counter[str] = Counter()
        for grant in self._active_grants():
            borrowed[grant.upstream] += grant.slots
        return borrowed

    def forget_granter(self, granter: str) -> None:
        """Remove all grants of an entry VM that has restarted."""
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
