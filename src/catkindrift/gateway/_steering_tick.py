"""Periodic update of the steering components."""

import logging
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.steering import (
    ColdRateLimiter,
    Members,
    Placement,
    SharedRetryBudget,
    UpstreamLimits,
    load_imbalance,
)

_LOG = logging.getLogger(__name__)


@final
@attrs.define(eq=False, repr=False)
class SteeringTick:
    """Updates placement, cold rate limit and retry budget from the state.

    Args:
        clock: Source of time.
        state: Configuration and upstreams.
        members: Entry VMs that share the limits.
        placement: Chooses upstreams.
        cold_limiter: Limits requests to cold upstreams.
        budget: Limits retries.
        limits: Limits that upstreams name.
        metrics: Shows how the limits are divided.
    """

    _clock: Clock
    _state: PlatformState
    _members: Members
    _placement: Placement
    _cold_limiter: ColdRateLimiter
    _budget: SharedRetryBudget
    _limits: UpstreamLimits
    _metrics: GatewayMetrics
    _sharing: int = attrs.field(init=False, default=0)

    def run(self) -> None:
        """Apply the current members, upstreams and rules."""
        self._members.forget_silent()
        sharers = self._members.sharers
        self._report(len(sharers))
        self._cold_limiter.update_members(sharers)
        self._cold_limiter.keep_only(self._state.registry.ids)
        self._budget.update_member_count(len(sharers))
        self._limits.update_members(sharers, self._members.sharing_from_ms)
        self._limits.keep_only(self._state.registry.incarnations)
        self._placement.rules = self._state.rules

    def _report(self, sharing: int) -> None:
        """Log and export among how many VMs the limits are divided."""
        if sharing != self._sharing:
            _LOG.info(
                'common limits are divided among %d entry VMs, %d of them '
                'heard; before: %d',
                sharing,
                len(self._members.alive()) + 1,
                self._sharing,
            )
        self._sharing = sharing
        self._metrics.sharing_entry_vms.set(sharing)
        now_ms = self._clock.now_ms()
        states = self._state.registry.states
        for service, ratio in load_imbalance(states, now_ms).items():
            self._metrics.load_imbalance.labels(service).set(ratio)
        cold = [each.is_cold(now_ms) for each in states]
        self._metrics.cold_upstreams.set(sum(cold))
