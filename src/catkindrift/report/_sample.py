"""Counters of one entry VM at one moment."""

from typing import final

import attrs


@final
@attrs.frozen
class ServiceCount:
    """Counters of a service since the process started.

    Args:
        service: The service.
        answered: Answers of upstreams that are no server errors.
        failed: Server errors and refusals that count against availability.
        reasons: Refusals by reason.
        completed: Answers with a measured time.
        buckets: Answers within a time in seconds, by rising time.
    """

    service: str
    answered: float = 0
    failed: float = 0
    reasons: dict[str, float] = attrs.field(factory=dict)
    completed: float = 0
    buckets: dict[str, float] = attrs.field(factory=dict)

    def completed_within(self, limit_ms: int) -> float:
        """Return the answers that were complete within a time.

        Times between two buckets count as late.
        """
        limit = limit_ms / 1000
        counts = [
            count
            for bound, count in self.buckets.items()
            if float(bound) <= limit
        ]
        return max(counts, default=0)


@final
@attrs.frozen
class Sample:
    """What one entry VM showed.

    Args:
        wall_ms: Time of the sample, Unix milliseconds.
        vm: The entry VM.
        region: Its region.
        counts: Counters by service.
        longest_drain_s: Longest drain of the plans kept; nothing for none.
    """

    wall_ms: int
    vm: str
    region: str
    counts: dict[str, ServiceCount]
    longest_drain_s: float | None = None
