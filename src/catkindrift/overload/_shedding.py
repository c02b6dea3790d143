"""Share of the requests that a service can't serve in time."""

import math
from typing import final

import attrs

from catkindrift.overload._decaying_counts import DecayingCounts
from catkindrift.overload._waiting_request import WaitingRequest

# Time constant of the mean delay; a VM of 87 has a response each 100 ms.
_DELAY_MEMORY_MS = 500.0
# Share turned away if the mean delay is twice the target. The share follows
# the delay without memory: an integral went on refusing after a burst.
_SHARE_OF_EXCESS = 0.5
# Longest time between two responses that counts as one step.
_MAX_STEP_MS = 500
# Some of every kind is served, or its delay would no longer be measured.
_MAX_SHARE = 0.9
# Part of the time between the usual response and the objective that the mean
# queue of an upstream may take; single ones are three times as long.
_TARGET_SHARE = 0.5
# A target below this would refuse requests for the noise of reports.
_MIN_TARGET_MS = 20.0


@final
@attrs.define(eq=False, repr=False)
class Shedding:
    """Learns from reported queues how many requests to turn away.

    The least urgent go first, and of equally urgent ones those that are late
    already. An upstream's own queue isn't known at the time of a decision if
    many entry VMs send to it; the mean over all upstreams is.
    """

    _share: float = attrs.field(init=False, default=0)
    _delay_ms: float = attrs.field(init=False, default=0)
    _measured_ms: int = attrs.field(init=False, default=0)
    _target_ms: float = attrs.field(init=False, default=math.inf)
    _arrived: DecayingCounts = attrs.field(init=False, factory=DecayingCounts)

    @property
    def is_needed(self) -> bool:
        """Whether any requests are to be turned away."""
        return self._share > 0

    @property
    def delay_ms(self) -> float:
        """Mean time that requests spend in the queues of upstreams."""
        return self._delay_ms

    def record_arrival(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> None:
        """Count a request; the tightest objective sets the target.

        Args:
            request: The request.
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        self._arrived.add(self._level(request, now_ms, average_ms), now_ms)
        spare_ms = request.objective_ms - request.arrived_ms - average_ms
        target_ms = max(spare_ms * _TARGET_SHARE, _MIN_TARGET_MS)
        self._target_ms = min(target_ms, self._target_ms)

    def record_delay(self, delay_ms: float, now_ms: int) -> None:
        """Adjust the share by a queue that an upstream reports.

        Args:
            delay_ms: Time that a request spends in it.
            now_ms: Present time.
        """
        step_ms = min(now_ms - self._measured_ms, _MAX_STEP_MS)
        self._measured_ms = now_ms
        weight = -math.expm1(-max(step_ms, 1) / _DELAY_MEMORY_MS)
        self._delay_ms += weight * (delay_ms - self._delay_ms)
        excess = self._delay_ms / self._target_ms - 1
        self._share = min(max(excess * _SHARE_OF_EXCESS, 0), _MAX_SHARE)

    def refused_share(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> float:
        """Return the probability with which a request is turned away.

        Args:
            request: The request.
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        if not self._share:
            return 0
        own = self._level(request, now_ms, average_ms)
        total = self._arrived.total(now_ms)
        less_urgent = math.fsum(
            self._arrived.count(level, now_ms)
            for level in self._arrived.names
            if level > own
        )
        of_own = max(self._arrived.count(own, now_ms), 1)
        left = self._share * total - less_urgent * _MAX_SHARE
        return min(max(left / of_own, 0), _MAX_SHARE)

    def _level(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> str:
        is_late = not request.meets_objective(now_ms + average_ms)
        first, second = request.rank
        return f'{first:04d} {second:04d} {is_late:d}'
