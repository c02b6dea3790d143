"""Periodic update of the steering components."""

from typing import final

import attrs

from catkindrift.gateway._platform_state import PlatformState
from catkindrift.steering import (
    ColdRateLimiter,
    Members,
    Placement,
    SharedRetryBudget,
    UpstreamLimits,
)


@final
@attrs.define(eq=False)
class SteeringTick:
    """Updates placement, cold rate limit and retry budget from the state.

    Args:
        state: Configuration and upstreams.
        members: Entry VMs that share the limits.
        placement: Chooses upstreams.
        cold_limiter: Limits requests to cold upstreams.
        budget: Limits retries.
        limits: Limits that upstreams name.
    """

    _state: PlatformState
    _members: Members
    _placement: Placement
    _cold_limiter: ColdRateLimiter
    _budget: SharedRetryBudget
    _limits: UpstreamLimits

    def run(self) -> None:
        """Apply the current members, upstreams and rules."""
        self._members.forget_silent()
        names = self._members.names
        self._cold_limiter.update_members(names)
        self._cold_limiter.keep_only(self._state.registry.ids)
        self._budget.update_member_count(len(names))
        self._limits.update_members(names)
        self._limits.keep_only(self._state.registry.incarnations)
        self._placement.rules = self._state.rules
