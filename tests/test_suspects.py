"""Which fingerprints are blamed, from reports of several entry VMs."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.retries import (
    Cleared,
    Crash,
    Suspects,
    _crash_records as limits,
)


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def suspects(clock):
    return Suspects(clock)


def crash(suspects, fingerprint, *upstreams):
    """Let another entry VM report crashes."""
    suspects.merge([Crash(fingerprint, each, 10) for each in upstreams])


def test_two_crashes_quarantine(suspects):
    """One crash makes a suspect, two are enough."""
    crash(suspects, 'poison', 'u1')
    assert suspects.is_suspect('poison')
    assert not suspects.is_quarantined('poison')
    crash(suspects, 'poison', 'u2')
    assert suspects.is_quarantined('poison')


def test_what_ran_beside_a_crashing_request_is_no_suspect(suspects):
    """VMs that do not know of each other's requests blame their own."""
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'beside', 'u2')
    assert not suspects.is_suspect('beside')
    crash(suspects, 'poison', 'u3')
    crash(suspects, 'beside', 'u1')
    assert not suspects.is_quarantined('beside')
    assert suspects.is_quarantined('poison')


def test_crashing_request_beside_a_suspect_is_blamed(suspects):
    """Who is suspected already does not hide who is new."""
    suspects.record_crash(['innocent'], 'u1')
    suspects.record_crash(['innocent', 'poison'], 'u2')
    assert not suspects.is_suspect('poison')
    suspects.record_crash(['poison'], 'u3')
    assert suspects.is_quarantined('poison')


def test_answer_takes_back_what_another_request_explains(suspects, clock):
    """Else a second coincidence, minutes later, would make two crashes."""
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'beside', 'u2')
    clock.advance(100)
    suspects.clear('beside')
    crash(suspects, 'beside', 'u3')
    assert not suspects.is_quarantined('beside')


def test_same_crashes_quarantine_both(suspects):
    """Nobody can tell which of the two is guilty."""
    for fingerprint in ('one', 'other'):
        crash(suspects, fingerprint, 'u1', 'u2')
    assert suspects.is_quarantined('one')
    assert suspects.is_quarantined('other')


def test_upstream_that_answers_has_not_crashed(suspects, clock):
    """Blame is taken back, and does not return from other VMs."""
    crash(suspects, 'plain', 'u1', 'u2')
    clock.advance(100)
    suspects.record_alive('u1', clock.now_ms())
    assert not suspects.is_quarantined('plain')
    suspects.merge([Crash('plain', 'u1', 110)])
    assert not suspects.is_quarantined('plain')


def test_answer_to_an_earlier_request_shows_no_life(suspects, clock):
    """It may have been on its way when the upstream ended."""
    crash(suspects, 'poison', 'u1', 'u2')
    suspects.record_alive('u1', clock.now_ms() - 50)
    assert suspects.is_quarantined('poison')


def test_answer_clears_only_what_was_seen_before(suspects):
    """A crash after the answer counts."""
    crash(suspects, 'plain', 'u1')
    suspects.merge([], [Cleared('plain', 5)])
    assert not suspects.is_suspect('plain')
    suspects.merge([Crash('plain', 'u2', 1)])
    assert suspects.is_suspect('plain')


def test_one_crash_is_told_once(suspects):
    """Reports of it differ a little in age."""
    for age_ms in (10, 12, 9):
        suspects.merge([Crash('plain', 'u1', age_ms)])
    assert len(suspects.crashes()) == 1


def test_reports_that_go_round_make_no_second_crash():
    """Each way between VMs adds to what seems to be the time of a crash."""
    clock = ManualClock(1_000_000)
    here, there = Suspects(clock), Suspects(clock)
    crash(here, 'plain', 'u1')
    for _ in range(400):
        for sender, receiver in ((here, there), (there, here)):
            reports = sender.crashes()
            clock.advance(500)
            receiver.merge(reports)
    assert here.is_suspect('plain')
    assert not here.is_quarantined('plain')


def test_report_of_a_vm_that_stood_still_makes_no_second_crash(clock):
    """Where each start has a name of its own, one name crashes once."""
    suspects = Suspects(clock, can_crash_again=False)
    suspects.merge([Crash('plain', 'u1', 20_000)])
    suspects.merge([Crash('plain', 'u1', 8000)])
    assert not suspects.is_quarantined('plain')
    suspects = Suspects(clock)
    suspects.merge([Crash('poison', 'u1', 20_000)])
    suspects.merge([Crash('poison', 'u1', 8000)])
    assert suspects.is_quarantined('poison')


def test_request_beside_two_crashing_ones_is_no_suspect(suspects):
    """Each of its crashes is that of another, which has more of its own."""
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'other', 'v1', 'v2')
    crash(suspects, 'beside', 'u2', 'v2')
    assert not suspects.is_suspect('beside')
    assert suspects.is_quarantined('poison')
    assert suspects.is_quarantined('other')


def test_crash_beside_a_crashing_request_counts_with_another(suspects):
    """A second guilty request may have met the first."""
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'other', 'u2', 'v1')
    assert suspects.is_quarantined('other')


def test_mass_of_crashes_displaces_no_quarantine(suspects, monkeypatch):
    """What is known to crash upstreams is forgotten last."""
    monkeypatch.setattr(limits, '_MAX_FINGERPRINTS', 20)
    crash(suspects, 'poison', 'u1', 'u2')
    for number in range(100):
        crash(suspects, f'beside-{number}', f'v{number}')
    assert suspects.is_quarantined('poison')
    assert len(suspects.crashes()) < 40
