"""Increases of counters between samples."""

import itertools
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.report._sample import Sample, ServiceCount

# Two samples further apart than this leave a gap between them.
MAX_SAMPLE_GAP_MS = 120_000


@final
@attrs.frozen
class Increase:
    """What a service did on one entry VM between two samples.

    Args:
        from_ms: Time of the first sample, Unix milliseconds.
        to_ms: Time of the second sample, Unix milliseconds.
        region: Region of the entry VM.
        good: Requests answered.
        bad: Requests that count against availability.
        reasons: Bad requests by reason.
        completed: Answers with a measured time.
        late: Answers over the latency objective.
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
    """Return the increases of a service over all entry VMs.

    A counter that fell belongs to a process that restarted: the step is left
    out, as is a step between samples that are too far apart.

    Args:
        samples: Samples of any entry VMs.
        service: The service.
        latency_ms: Time within which an answer should be complete.
    """
    by_vm: dict[str, list[Sample]] = {}
    for sample in sorted(samples, key=lambda each: each.wall_ms):
        by_vm.setdefault(sample.vm, []).append(sample)
    found: list[Increase] = []
    for series in by_vm.values():
        for before, after in itertools.pairwise(series):
            step = _increase(before, after, service, latency_ms)
            if step is not None:
                found.append(step)
    return found


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
