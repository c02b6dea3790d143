"""Counters of an entry VM at one point in time."""

from typing import final

import attrs


@final
@attrs.frozen
class ServiceCount:
    """Counters of a service since the process started.

    Args:
        service: Name of the service.
        answered: Upstream responses other than server errors.
        failed: Server errors and refusals that count against availability.
        reasons: Number of failed requests by reason.
        completed: Responses with a measured latency.
        buckets: Cumulative latency histogram: responses by upper bound in
            seconds, in ascending order.
    """

    service: str
    answered: float = 0
    failed: float = 0
    reasons: dict[str, float] = attrs.field(factory=dict)
    completed: float = 0
    buckets: dict[str, float] = attrs.field(factory=dict)

    def completed_within(self, limit_ms: int) -> float:
        """Return the number of responses that were complete within a time.

        Only buckets up to the limit count, so a response in the bucket that
        contains the limit counts as late.
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
    """Counters of all services on one entry VM.

    Args:
        wall_ms: Time of the sample in Unix milliseconds.
        vm: Name of the entry VM.
        region: Region of the entry VM.
        counts: Counters by service.
        longest_drain_s: Duration of the longest drain among the stored
            plans, None without drains.
    """

    wall_ms: int
    vm: str
    region: str
    counts: dict[str, ServiceCount]
    longest_drain_s: float | None = None
