"""Error budget burn from samples of metrics, including gaps in them."""

import pytest

from catkindrift.errors import InvalidInputError
from catkindrift.report import (
    Objective,
    Sample,
    ServiceCount,
    append_samples,
    compute_burn_rows,
    load_samples,
    parse_metrics,
    render_page,
)

MINUTE_MS = 60_000
OBJECTIVES = (Objective('tariffs', availability=0.99, latency_ms=200),)
SERVICE = 'service="tariffs"'
METRICS = f"""
catkindrift_info{{vm="a",zone="n1",region="north"}} 1
catkindrift_answers_total{{{SERVICE},status_class="2"}} 90
catkindrift_answers_total{{{SERVICE},status_class="5"}} 2
catkindrift_refusals_total{{{SERVICE},reason="queue_full"}} 7
catkindrift_refusals_total{{{SERVICE},reason="quarantined"}} 5
catkindrift_request_seconds_bucket{{{SERVICE},le="0.1"}} 60
catkindrift_request_seconds_bucket{{{SERVICE},le="0.5"}} 80
catkindrift_request_seconds_bucket{{{SERVICE},le="+Inf"}} 92
catkindrift_request_seconds_count{{{SERVICE}}} 92
"""


def sample(minute, answered, failed, vm='a', region='north'):
    """Return a sample in which half of the responses take up to 100 ms."""
    count = ServiceCount(
        'tariffs',
        answered,
        failed,
        {'queue_full': failed},
        answered,
        {'0.1': answered / 2, '+Inf': answered},
    )
    return Sample(minute * MINUTE_MS, vm, region, {'tariffs': count})


def row_of(rows, objective, window):
    """Return the row of an objective and a window."""
    return next(
        row
        for row in rows
        if (row.objective, row.window) == (objective, window)
    )


class TestParse:
    """Metrics are parsed into counters by service."""

    def test_counts(self):
        """Server errors and refusals count as failed, caller errors don't."""
        count = parse_metrics(METRICS, 5).counts['tariffs']
        assert (count.answered, count.failed) == (90, 9)
        assert count.reasons == {'server_error': 2, 'queue_full': 7}

    def test_times_between_buckets_are_late(self):
        """A response in the bucket that contains the limit counts as late."""
        count = parse_metrics(METRICS, 5).counts['tariffs']
        assert count.completed_within(200) == 60

    def test_other_metrics(self):
        """Metrics without catkindrift_info are rejected."""
        with pytest.raises(InvalidInputError):
            parse_metrics('other 1\n', 5)


class TestBurn:
    """Burn rates are computed by objective and window."""

    def test_rate_region_and_reason(self):
        """The burn rate is the failed fraction divided by the budget."""
        samples = [
            sample(minute, 98 * minute, 2 * minute) for minute in range(1, 7)
        ]
        samples += [
            sample(minute, 100 * minute, 0, 'b', 'south')
            for minute in range(1, 7)
        ]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'availability', '5m')
        assert row.burn_rate == pytest.approx(1)
        assert (row.region, row.reason) == ('north', 'queue_full')
        assert row.covered == pytest.approx(1)
        assert not row.is_alert

    def test_latency(self):
        """Half of the responses late burns the 1% budget at a rate of 50."""
        samples = [sample(minute, 100 * minute, 0) for minute in range(1, 7)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'latency', '5m')
        assert row.burn_rate == pytest.approx(50)
        assert row.is_alert

    def test_missing_samples_are_gaps(self):
        """A gap between samples is not covered and adds no requests."""
        samples = [sample(1, 10, 0), sample(2, 20, 0), sample(6, 900, 0)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'availability', '5m')
        assert row.covered == pytest.approx(0.2)
        assert row.requests == 10

    def test_restart_is_a_gap(self):
        """A decreased counter means a restart, which leaves a gap."""
        samples = [sample(1, 100, 50), sample(2, 3, 0), sample(3, 13, 0)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'availability', '5m')
        assert row.requests == 10
        assert row.covered == pytest.approx(0.2)

    def test_no_samples(self):
        """Without samples the burn rate and the remaining budget are None."""
        row = compute_burn_rows([], OBJECTIVES, MINUTE_MS)[0]
        assert (row.burn_rate, row.budget_left, row.covered) == (None, None, 0)


class TestFiles:
    """Samples are stored, and the report is rendered as a page."""

    def test_samples_survive_a_file(self, tmp_path):
        """Samples appended in two calls are read back."""
        path = tmp_path / 'samples'
        samples = [sample(1, 10, 1), sample(2, 20, 1)]
        append_samples(path, samples[:1])
        append_samples(path, samples[1:])
        assert load_samples(path) == samples

    def test_page_needs_nothing_else(self):
        """The page loads no external scripts, images or styles."""
        samples = [sample(minute, 100 * minute, 1) for minute in range(1, 4)]
        rows = compute_burn_rows(samples, OBJECTIVES, 4 * MINUTE_MS)
        page = render_page(rows, samples, OBJECTIVES, 4 * MINUTE_MS)
        assert '<svg' in page
        assert 'src=' not in page
        assert '<link' not in page
