"""Counters that cost little to update and to import."""

import bisect
import itertools
from typing import final

import attrs

# Upper bounds in seconds of the buckets of a histogram.
_BUCKET_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1,
    2.5,
    5,
    7.5,
    10,
)


@final
@attrs.define(eq=False, repr=False)
class Sample:
    """One number of a metric."""

    total: float = 0

    def inc(self, amount: float = 1) -> None:
        """Add to the number."""
        self.total += amount

    def set(self, total: float) -> None:
        """Replace the number."""
        self.total = total


@final
@attrs.define(eq=False, repr=False)
class Labeled:
    """Samples of one metric by the value of its label.

    Args:
        label: Name of the label; its values come from a small fixed set.
        is_gauge: Whether it is shown as a gauge instead of a counter.
    """

    label: str
    is_gauge: bool = False
    samples: dict[str, Sample] = attrs.field(init=False, factory=dict)

    def labels(self, name: str) -> Sample:
        """Return the sample of one value of the label."""
        sample = self.samples.get(name)
        if sample is None:
            sample = Sample()
            self.samples[name] = sample
        return sample


@final
@attrs.define(eq=False, repr=False)
class Durations:
    """Histogram of durations in seconds."""

    total_s: float = attrs.field(init=False, default=0)
    _counts: list[int] = attrs.field(
        init=False, factory=lambda: [0 for _ in (*_BUCKET_SECONDS, None)]
    )

    @property
    def buckets(self) -> list[tuple[str, float]]:
        """Upper bounds, and how many durations are no longer than each."""
        bounds = [*map(str, map(float, _BUCKET_SECONDS)), '+Inf']
        sums = itertools.accumulate(self._counts)
        return list(zip(bounds, map(float, sums), strict=True))

    def observe(self, duration_s: float) -> None:
        """Add a duration."""
        self.total_s += duration_s
        self._counts[bisect.bisect_left(_BUCKET_SECONDS, duration_s)] += 1
