"""Periodic work of the decisions."""

from typing import final

import attrs

from catkindrift.gateway._platform_state import PlatformState
from catkindrift.steering import (
    ColdRateLimiter,
    Members,
    Placement,
    SharedRetryBudget,
)


@final
@attrs.define(eq=False)
class SteeringTick:
    """Takes new facts over into pace and budget once a second.

    Args:
        facts: What is known.
        members: Entry VMs.
        placement: Choice of upstreams.
        pace: Cold upstreams.
        budget: Extra attempts.
    """

    _state: PlatformState
    _members: Members
    _placement: Placement
    _pace: ColdRateLimiter
    _budget: SharedRetryBudget

    def run(self) -> None:
        """Take over what has changed."""
        self._members.forget_silent()
        names = self._members.names
        self._pace.update_members(names)
        self._pace.keep_only(self._state.registry.ids)
        self._budget.update_member_count(len(names))
        self._placement.rules = self._state.rules
