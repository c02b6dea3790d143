"""What an entry VM knows about one upstream."""

from typing import final

import attrs

from catkindrift.domain import Vm, VmState

_LATENCY_WEIGHT = 0.2
_FIRST_LATENCY_MS = 20.0
_ANSWERS_TO_WARM = 20
_COLD_SHARE = 0.5
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_MS = 2000
_LONGEST_EJECTION_MS = 30_000


@final
@attrs.define
class UpstreamState:
    """Own observations of an upstream; they outweigh what it reports.

    Args:
        vm: The upstream as the VM list shows it.
        in_flight: Attempts of this entry VM that run there.
        latency_ms: Moving mean of answer times.
        failures: Failed attempts since the last answer.
        ejections: Ejections since the last answer.
        answers: Answers since the upstream was new or ejected.
        connections: Connections that are open to it.
        ejected_until_ms: No new work before this time, but for a trial.
        leaving_until_ms: The upstream said or others reported that it is
            leaving; renewed while they say so.
        reported_busy: Slots in use as the upstream reported them.
    """

    vm: Vm
    in_flight: int = 0
    latency_ms: float = _FIRST_LATENCY_MS
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    warmup_responses: int = 0
    connections: int = 0
    ejected_until_ms: int = 0
    leaving_until_ms: int = 0
    reported_busy_slots: int = 0

    @property
    def idle_connections(self) -> int:
        """Return the open connections that run no attempt."""
        return max(self.connections - self.in_flight, 0)

    def record_dispatch(self) -> None:
        """Record the start of an attempt."""
        self.in_flight += 1
        self.connections = max(self.connections, self.in_flight)

    def record_end(self) -> None:
        """Record the end of an attempt."""
        self.in_flight = max(self.in_flight - 1, 0)

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether the upstream must receive no new work."""
        return (
            self.vm.state is VmState.LEAVING or now_ms < self.leaving_until_ms
        )

    def is_ejected(self, now_ms: int) -> bool:
        """Return whether failures keep the upstream out."""
        return now_ms < self.ejected_until_ms

    def usable_slots(self, slots: int) -> int:
        """Return how many of `slots` may be used while caches are cold."""
        if self.warmup_responses >= _ANSWERS_TO_WARM or slots <= 1:
            return slots
        return max(round(slots * _COLD_SHARE), 1)

    def record_response(self, latency_ms: float) -> None:
        """Record a complete answer."""
        self.warmup_responses += 1
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_ms = 0
        step = (latency_ms - self.latency_ms) * _LATENCY_WEIGHT
        self.latency_ms += step

    def record_failure(self, now_ms: int) -> bool:
        """Record a failed attempt and return whether to eject."""
        self.consecutive_failures += 1
        self.connections = self.in_flight
        return (
            self.consecutive_failures >= _FAILURES_TO_EJECT
            or self.consecutive_ejections > 0
        ) and not self.is_ejected(now_ms)

    def eject(self, now_ms: int) -> None:
        """Keep new work away for a time that doubles with each ejection."""
        pause_ms = min(
            _FIRST_EJECTION_MS << min(self.consecutive_ejections, 8),
            _LONGEST_EJECTION_MS,
        )
        self.consecutive_ejections += 1
        self.warmup_responses = 0
        self.ejected_until_ms = now_ms + pause_ms
