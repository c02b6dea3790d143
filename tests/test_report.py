"""Burn of error budgets, with gaps shown as gaps."""

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
    """Return a sample with simple counters."""
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
    """Return one row."""
    return next(
        row
        for row in rows
        if (row.objective, row.window) == (objective, window)
    )


class TestParse:
    """Metrics become counters by service."""

    def test_counts(self):
        """Server errors and refusals fail; callers' mistakes do not."""
        count = parse_metrics(METRICS, 5).counts['tariffs']
        assert (count.answered, count.failed) == (90, 9)
        assert count.reasons == {'server_error': 2, 'queue_full': 7}

    def test_times_between_buckets_are_late(self):
        """An answer counts as in time only when its bucket shows it."""
        count = parse_metrics(METRICS, 5).counts['tariffs']
        assert count.completed_within(200) == 60

    def test_other_metrics(self):
        """Metrics of something else are refused."""
        with pytest.raises(InvalidInputError):
            parse_metrics('other 1\n', 5)


class TestBurn:
    """Burn rates over windows."""

    def test_rate_region_and_reason(self):
        """The rate is the failed part over the budget."""
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
        """Half of the answers being late burns fifty times the budget."""
        samples = [sample(minute, 100 * minute, 0) for minute in range(1, 7)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'latency', '5m')
        assert row.burn_rate == pytest.approx(50)
        assert row.is_alert

    def test_missing_samples_are_gaps(self):
        """Time without samples is not covered, and adds no good requests."""
        samples = [sample(1, 10, 0), sample(2, 20, 0), sample(6, 900, 0)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'availability', '5m')
        assert row.covered == pytest.approx(0.2)
        assert row.requests == 10

    def test_restart_is_a_gap(self):
        """A counter that fell belongs to another process."""
        samples = [sample(1, 100, 50), sample(2, 3, 0), sample(3, 13, 0)]
        rows = compute_burn_rows(samples, OBJECTIVES, 6 * MINUTE_MS)
        row = row_of(rows, 'availability', '5m')
        assert row.requests == 10
        assert row.covered == pytest.approx(0.2)

    def test_no_samples(self):
        """Without samples nothing is known, and nothing is called good."""
        row = compute_burn_rows([], OBJECTIVES, MINUTE_MS)[0]
        assert (row.burn_rate, row.budget_left, row.covered) == (None, None, 0)


class TestFiles:
    """Samples and pages."""

    def test_samples_survive_a_file(self, tmp_path):
        """Samples that were saved are read back."""
        path = tmp_path / 'samples'
        samples = [sample(1, 10, 1), sample(2, 20, 1)]
        append_samples(path, samples[:1])
        append_samples(path, samples[1:])
        assert load_samples(path) == samples

    def test_page_needs_nothing_else(self):
        """The page refers to no other host."""
        samples = [sample(minute, 100 * minute, 1) for minute in range(1, 4)]
        rows = compute_burn_rows(samples, OBJECTIVES, 4 * MINUTE_MS)
        page = render_page(rows, samples, OBJECTIVES, 4 * MINUTE_MS)
        assert '<svg' in page
        assert 'src=' not in page
        assert '<link' not in page
