"""Load reports of three and four figures, and what the speed changes."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._upstream_observer import UpstreamObserver
from catkindrift.http1 import ResponseHead
from catkindrift.platform import parse_load_figures
from catkindrift.steering import (
    CostModel,
    LoadReport,
    UpstreamState,
    ZoneDistances,
    load_imbalance,
)
from tests.platform_deployment import ZONES
from tests.steering_samples import sample_upstream

LOAD = LoadReport(4, 1, 9)
AVERAGE_MS = 100.0


def head(stated):
    return ResponseHead(200, [(b'Server-Load', stated)])


def total_ms(state, now_ms):
    model = CostModel(ZoneDistances('ovd-a', ZONES))
    return model.total_ms(state, now_ms, AVERAGE_MS)


@pytest.mark.parametrize(
    ('stated', 'report', 'speed', 'refused'),
    [
        (b'4,1,9', LOAD, None, ()),
        (b'4,1,9,100', LOAD, 100, ()),
        (b'4,1,9,250', LOAD, 250, ()),
        (b'0,0,1000000,1', LoadReport(0, 0, 1_000_000), 1, ()),
        (b'4,1,9,0', LOAD, None, ('speed',)),
        (b'4,1,9,', LOAD, None, ('speed',)),
        (b'4,1,9,-250', LOAD, None, ('speed',)),
        (b'4,1,9,1000001', LOAD, None, ('speed',)),
        (b'4,1,0,250', None, 250, ('slots',)),
        (b'4,1,1000001', None, None, ('slots',)),
        (b'-4,1,9,250', None, 250, ('running',)),
        (b'4,,9', None, None, ('waiting',)),
        (b'4,1', None, None, ('slots',)),
        (b'x,-1,0,slow', None, None, ('running', 'waiting', 'slots', 'speed')),
        (b'4,1,9,250,1', None, None, ('surplus',)),
        (b'%s,1,9' % (b'9' * 5000), None, None, ('running',)),
        (b'', None, None, ()),
    ],
)
def test_each_invalid_figure_is_refused(stated, report, speed, refused):
    """An invalid figure neither enters the load nor hides the others."""
    figures = parse_load_figures(head(stated))
    assert figures.report == report
    assert figures.speed_percent == speed
    assert figures.refused == refused


def test_four_figures_reach_the_state_and_invalid_ones_are_counted():
    """Reports of four figures used to be dropped whole, without a count."""
    clock = ManualClock(100_000)
    metrics = GatewayMetrics()
    observer = UpstreamObserver(clock, None, metrics, None, None)
    state = UpstreamState(sample_upstream('i-1'), 0)
    observer.record_head(state, head(b'4,4,9,250'))
    assert state.load(clock.now_ms()) > 0
    assert state.host_speed.percent == 250
    observer.record_head(state, head(b'4,4,0,-1'))
    counts = metrics.invalid_load_figures
    assert counts.labels('slots').total == 1
    assert counts.labels('speed').total == 1
    assert state.host_speed.percent == 250


def test_slow_host_counts_while_the_report_is_fresh():
    """A slow host takes 2.5 times as long, until its speed is redrawn."""
    state = UpstreamState(sample_upstream('i-1'), 0)
    usual_ms = total_ms(state, 100_000)
    state.host_speed.record(250, 100_000)
    assert total_ms(state, 100_000) == pytest.approx(
        usual_ms + 1.5 * AVERAGE_MS
    )
    assert usual_ms < total_ms(state, 100_300) < total_ms(state, 100_000)
    assert total_ms(state, 100_600) == pytest.approx(usual_ms)


def test_report_without_speed_leaves_the_estimate():
    """Upstreams that report three figures are compared as before."""
    state = UpstreamState(sample_upstream('i-1'), 0)
    usual_ms = total_ms(state, 100_000)
    state.host_speed.record(None, 100_000)
    assert total_ms(state, 100_000) == pytest.approx(usual_ms)


def test_imbalance_is_the_largest_load_over_the_mean():
    """The metric shows that one upstream gets a multiple of the others."""
    states = [UpstreamState(sample_upstream(f'i-{each}'), 0) for each in '123']
    assert not load_imbalance(states, 100_000)
    for token in range(4):
        states[0].record_request(token, '17', 100_000)
    states[1].record_request(9, '17', 100_000)
    states[2].record_request(9, '17', 100_000)
    assert load_imbalance(states, 100_000) == {'tariffs': pytest.approx(2)}
