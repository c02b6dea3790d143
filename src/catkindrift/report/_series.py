"""Increases of counters between consecutive samples."""

import itertools
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.report._sample import Sample, ServiceCount

# The time between two samples further apart than this counts as a gap.
MAX_SAMPLE_GAP_MS = 120_000


@final
@attrs.frozen
class Increase:
    """Requests of a service on one entry VM between two samples.

    Args:
        from_ms: Time of the first sample in Unix milliseconds.
        to_ms: Time of the second sample in Unix milliseconds.
        region: Region of the entry VM.
        good: Upstream responses other than server errors.
        bad: Requests that count against availability.
        reasons: Number of bad requests by reason.
        completed: Responses with a measured latency.
        late: Responses that exceeded the latency objective.
    """

    from_ms: int
    to_ms: int
    region: str
    good: float
    bad: float
    reasons: dict[str, float]
    completed: float
    late: float


def compute_increases(
    samples: Iterable[Sample],
    service: str,
    latency_ms: int,
) -> list[Increase]:
    """Compute the increases of a service's counters on all entry VMs.

    A decreased counter means that the process restarted between the two
    samples. Such pairs of samples are skipped, as are pairs further apart
    than `MAX_SAMPLE_GAP_MS`.

    Args:
        samples: Samples of any number of entry VMs, in any order.
        service: Name of the service.
        latency_ms: Time in which a response should be complete.
    """
    by_vm: dict[str, list[Sample]] = {}
    for sample in sorted(samples, key=lambda each: each.wall_ms):
        by_vm.setdefault(sample.vm, []).append(sample)
    increases: list[Increase] = []
    for series in by_vm.values():
        for before, after in itertools.pairwise(series):
            increase = _increase(before, after, service, latency_ms)
            if increase is not None:
                increases.append(increase)
    return increases


def _increase(
    before: Sample,
    after: Sample,
    service: str,
    latency_ms: int,
) -> Increase | None:
    if after.wall_ms - before.wall_ms > MAX_SAMPLE_GAP_MS:
        return None
    old = before.counts.get(service, ServiceCount(service))
    new = after.counts.get(service, ServiceCount(service))
    good = new.answered - old.answered
    bad = new.failed - old.failed
    completed = new.completed - old.completed
    if min(good, bad, completed) < 0:
        return None
    in_time = new.completed_within(latency_ms) - old.completed_within(
        latency_ms
    )
    reasons = {
        reason: count - old.reasons.get(reason, 0)
        for reason, count in new.reasons.items()
    }
    return Increase(
        before.wall_ms,
        after.wall_ms,
        after.region,
        good,
        bad,
        reasons,
        completed,
        completed - in_time,
    )
