"""What shows that an entry VM reaches no upstream, in virtual time."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.steering import ResponseSilence, UpstreamReachability

UPSTREAMS = 20


class Evidence:
    """Evidence of one entry VM, and the time."""

    def __init__(self, upstreams=UPSTREAMS):
        self.clock = ManualClock(100_000)
        self.reachability = UpstreamReachability(
            self.clock, lambda: upstreams, ResponseSilence(self.clock)
        )

    def fail(self, count):
        """Let connects to a number of upstreams fail."""
        for number in range(count):
            self.reachability.record_failed_connect(f'i-{number}')
        self.clock.advance(100)

    def connect(self):
        """Let an upstream accept a connection at once."""
        self.reachability.record_connect(self.clock.now_ms())

    def probe(self):
        """Let a probe of other upstreams fail."""
        self.reachability.begin_probe()
        self.clock.advance(200)
        self.reachability.record_failed_probe()

    def hear(self, age_ms=0):
        """Hear from a VM that has reached an upstream."""
        self.reachability.record_peer(age_ms)


def test_vm_that_others_outdo_is_cut_off():
    """Several upstreams and a probe fail while another VM reaches one."""
    evidence = Evidence()
    evidence.connect()
    evidence.fail(3)
    assert evidence.reachability.needs_probe
    evidence.probe()
    assert not evidence.reachability.is_cut_off
    evidence.hear()
    assert evidence.reachability.is_cut_off
    assert evidence.reachability.reached_age_ms is None


@pytest.mark.parametrize('unreachable', [1, 2])
def test_failing_upstreams_are_no_cut(unreachable):
    """One or two upstreams that fail say nothing about the others."""
    evidence = Evidence()
    evidence.fail(unreachable)
    evidence.probe()
    evidence.hear()
    assert not evidence.reachability.is_cut_off


def test_upstreams_that_all_crashed_are_no_cut():
    """No other VM reaches an upstream after the first failure."""
    evidence = Evidence()
    evidence.hear()
    evidence.fail(UPSTREAMS)
    evidence.probe()
    evidence.hear(age_ms=1000)
    evidence.hear(age_ms=None)
    assert not evidence.reachability.is_cut_off


def test_many_failures_are_no_cut_before_a_probe_has_failed():
    """Upstreams of one zone fail together; the others are reached."""
    evidence = Evidence()
    evidence.fail(9)
    evidence.clock.advance(500)
    evidence.hear()
    assert not evidence.reachability.is_cut_off
    evidence.connect()
    assert not evidence.reachability.needs_probe


def test_only_upstream_counts():
    """Where there are fewer upstreams, fewer have to fail."""
    evidence = Evidence(upstreams=1)
    evidence.fail(1)
    evidence.probe()
    evidence.hear()
    assert evidence.reachability.is_cut_off


def test_new_connection_ends_a_cut_and_a_response_does_not():
    """Old connections may live on while new ones are refused."""
    evidence = Evidence()
    evidence.fail(3)
    evidence.probe()
    evidence.hear()
    evidence.reachability.silence.record_response()
    assert evidence.reachability.is_cut_off
    evidence.connect()
    assert not evidence.reachability.is_cut_off


def test_response_on_an_old_connection_is_no_proof_of_reach():
    """In a cut that refuses connects, running requests may still end well."""
    evidence = Evidence()
    reachability = evidence.reachability
    evidence.connect()
    evidence.clock.advance(1000)
    cut_ms = evidence.clock.now_ms()
    evidence.fail(2)
    reachability.silence.record_response()
    assert not reachability.has_reached_since(cut_ms)
    evidence.connect()
    assert reachability.has_reached_since(cut_ms)


def test_silence_of_all_upstreams_calls_for_a_probe():
    """In a cut without resets, requests hang and nothing fails."""
    evidence = Evidence()
    silence = evidence.reachability.silence
    silence.record_request()
    silence.record_request()
    evidence.clock.advance(600)
    assert not evidence.reachability.needs_probe
    evidence.clock.advance(200)
    assert evidence.reachability.needs_probe
    silence.record_response()
    assert not evidence.reachability.needs_probe


def test_vm_that_is_cut_off_keeps_probing():
    """It notices the end of the cut without requests."""
    evidence = Evidence()
    evidence.fail(3)
    evidence.probe()
    evidence.hear()
    assert not evidence.reachability.needs_probe
    evidence.clock.advance(500)
    assert evidence.reachability.needs_probe


def test_connect_that_began_before_a_failure_is_no_proof_of_reach():
    """Guard against a cut that ends with a connection accepted before it."""
    evidence = Evidence()
    began_ms = evidence.clock.now_ms()
    evidence.clock.advance(1)
    cut_ms = evidence.clock.now_ms()
    evidence.fail(3)
    evidence.reachability.record_connect(began_ms)
    assert not evidence.reachability.has_reached_since(cut_ms)
    assert evidence.reachability.is_suspicious
    evidence.probe()
    evidence.hear()
    evidence.reachability.record_connect(began_ms)
    assert evidence.reachability.is_cut_off
    evidence.connect()
    assert evidence.reachability.has_reached_since(cut_ms)
    assert not evidence.reachability.is_cut_off
    assert not evidence.reachability.is_suspicious
