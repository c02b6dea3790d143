"""Health and load of one upstream as this entry VM observed them."""

from typing import final

import attrs

from catkindrift.domain import Vm, VmState

_LATENCY_WEIGHT = 0.2  # Weight of a new sample in the moving average.
_INITIAL_LATENCY_MS = 20.0
_RESPONSES_TO_WARM_UP = 20
_COLD_SLOT_FRACTION = 0.5
_FAILURES_TO_EJECT = 3
_MIN_EJECTION_MS = 2000
_MAX_EJECTION_MS = 30_000


@final
@attrs.define
class UpstreamState:
    """Observations of one upstream, used for routing and outlier ejection.

    Own observations take precedence over the load that the upstream reports.

    Args:
        vm: The upstream as the VM list shows it.
        in_flight: Number of attempts of this entry VM that run there.
        latency_ms: Exponential moving average of response times.
        consecutive_failures: Failed attempts since the last complete
            response.
        consecutive_ejections: Ejections since the last complete response.
        warmup_responses: Complete responses since the upstream was added or
            last ejected.
        connections: Number of open connections to it.
        ejected_until_ms: Monotonic time before which the upstream receives
            no new attempts.
        leaving_until_ms: Monotonic time until which the upstream counts as
            leaving; extended whenever the upstream or a peer reports so.
        reported_busy_slots: Slots in use as the upstream reported them.
    """

    vm: Vm
    in_flight: int = 0
    latency_ms: float = _INITIAL_LATENCY_MS
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    warmup_responses: int = 0
    connections: int = 0
    ejected_until_ms: int = 0
    leaving_until_ms: int = 0
    reported_busy_slots: int = 0

    @property
    def idle_connections(self) -> int:
        """Return the number of open connections without an attempt."""
        return max(self.connections - self.in_flight, 0)

    def record_dispatch(self) -> None:
        """Record that an attempt was sent."""
        self.in_flight += 1
        self.connections = max(self.connections, self.in_flight)

    def record_end(self) -> None:
        """Record that an attempt ended, with any result."""
        self.in_flight = max(self.in_flight - 1, 0)

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether the upstream must receive no new work."""
        return (
            self.vm.state is VmState.LEAVING or now_ms < self.leaving_until_ms
        )

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether the upstream is ejected after failures."""
        return now_ms < self.ejected_until_ms

    def usable_slots(self, slots: int) -> int:
        """Return how many of `slots` may be used now.

        Until the upstream has sent enough responses, its caches count as cold
        and only part of the slots is used, but at least one.
        """
        if self.warmup_responses >= _RESPONSES_TO_WARM_UP or slots <= 1:
            return slots
        return max(round(slots * _COLD_SLOT_FRACTION), 1)

    def record_response(self, latency_ms: float) -> None:
        """Record a complete response.

        Args:
            latency_ms: Response time.
        """
        self.warmup_responses += 1
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_ms = 0
        step = (latency_ms - self.latency_ms) * _LATENCY_WEIGHT
        self.latency_ms += step

    def record_failure(self, now_ms: int) -> bool:
        """Record a failed attempt.

        After a first ejection, a single failure is enough for the next one
        until the upstream sends a complete response.

        Args:
            now_ms: Current monotonic time.

        Returns:
            Whether the upstream should be ejected.
        """
        self.consecutive_failures += 1
        self.connections = self.in_flight
        return (
            self.consecutive_failures >= _FAILURES_TO_EJECT
            or self.consecutive_ejections > 0
        ) and not self.is_ejected(now_ms)

    def eject(self, now_ms: int) -> None:
        """Eject the upstream for twice as long as the last time, up to a limit.

        A complete response resets the duration.

        Args:
            now_ms: Current monotonic time.
        """
        pause_ms = min(
            _MIN_EJECTION_MS << min(self.consecutive_ejections, 8),
            _MAX_EJECTION_MS,
        )
        self.consecutive_ejections += 1
        self.warmup_responses = 0
        self.ejected_until_ms = now_ms + pause_ms
