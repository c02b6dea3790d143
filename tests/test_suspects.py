"""Suspect and quarantined fingerprints from reports of several entry VMs."""

import pytest

from catkindrift.blame import (
    Cleared,
    Crash,
    Suspects,
    _crash_records,
)
from catkindrift.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def suspects(clock):
    return Suspects(clock)


def crash(suspects, fingerprint, *upstreams):
    """Merge another entry VM's reports of crashes."""
    suspects.merge([Crash(fingerprint, each, 10) for each in upstreams])


def test_two_crashes_quarantine(suspects):
    """One crash makes a suspect, two lead to quarantine."""
    crash(suspects, 'poison', 'u1')
    assert suspects.is_suspect('poison')
    assert not suspects.is_quarantined('poison')
    crash(suspects, 'poison', 'u2')
    assert suspects.is_quarantined('poison')


def test_what_ran_beside_a_crashing_request_is_no_suspect(suspects):
    """Entry VMs record a crash for all requests that they had in flight.

    They don't know each other's requests, so an innocent one gets crashes
    that another request explains.
    """
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'beside', 'u2')
    assert not suspects.is_suspect('beside')
    crash(suspects, 'poison', 'u3')
    crash(suspects, 'beside', 'u1')
    assert not suspects.is_quarantined('beside')
    assert suspects.is_quarantined('poison')


def test_crashing_request_beside_a_suspect_is_blamed(suspects):
    """An earlier suspect must not hide the request that causes the crashes."""
    suspects.record_crash(['innocent'], 'u1')
    suspects.record_crash(['innocent', 'poison'], 'u2')
    assert not suspects.is_suspect('poison')
    suspects.record_crash(['poison'], 'u3')
    assert suspects.is_quarantined('poison')


def test_answer_takes_back_what_another_request_explains(suspects, clock):
    """A response clears a crash that another request explains.

    Otherwise a second coincidence, minutes later, would make two crashes and
    quarantine an innocent request.
    """
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'beside', 'u2')
    clock.advance(100)
    suspects.clear('beside')
    crash(suspects, 'beside', 'u3')
    assert not suspects.is_quarantined('beside')


def test_same_crashes_quarantine_both(suspects):
    """Two requests with the same crashes can't be told apart."""
    for fingerprint in ('one', 'other'):
        crash(suspects, fingerprint, 'u1', 'u2')
    assert suspects.is_quarantined('one')
    assert suspects.is_quarantined('other')


def test_crashes_count_for_all_callers_of_a_request(suspects):
    """Guard against two crashes for each address that sends a repeat."""
    crash(suspects, 'poison.1', 'u1')
    assert suspects.is_suspect('poison.2')
    crash(suspects, 'poison.2', 'u2')
    assert suspects.is_quarantined('poison.3')


def test_caller_that_crashes_what_others_run_is_quarantined(suspects, clock):
    """Guard against a common request that clears what one caller crashes."""
    for upstream in ('u1', 'u2'):
        crash(suspects, 'common.bad', upstream)
        clock.advance(100)
        suspects.clear('common.good')
        clock.advance(100)
    assert suspects.is_quarantined('common.bad')
    assert not suspects.is_suspect('common.good')


def test_common_request_in_a_mass_crash_is_not_quarantined(suspects, clock):
    """Guard against refusals of a harmless request that many callers send.

    It ran at several upstreams that ended together, and whole before that.
    """
    suspects.clear('common.1')
    clock.advance(1000)
    for number in range(5):
        suspects.record_crash([f'common.{number}'], f'u{number}')
    assert suspects.is_suspect('common.1')
    assert not suspects.is_quarantined('common.1')
    clock.advance(100)
    suspects.clear('common.1')
    assert not suspects.is_suspect('common.1')


def test_request_that_begins_to_crash_upstreams_is_quarantined(suspects, clock):
    """That it ran whole earlier excuses only crashes at the same time."""
    suspects.clear('poison.1')
    for upstream in ('u1', 'u2'):
        clock.advance(2000)
        suspects.record_crash(['poison.1'], upstream)
    assert suspects.is_quarantined('poison.1')


def test_response_elsewhere_lifts_a_quarantine(suspects, clock):
    """A VM that did not see it run whole quarantines a common request."""
    for upstream in ('u1', 'u2'):
        suspects.merge([Crash('common.1', upstream, 10)])
    assert suspects.is_quarantined('common.2')
    clock.advance(100)
    suspects.merge([], [Cleared('common.3', 50)])
    assert not suspects.is_quarantined('common.2')


def test_request_beside_repeats_of_several_callers_is_no_suspect(suspects):
    """Guard against explanations that need all crashes of one caller."""
    crash(suspects, 'poison.1', 'u1')
    crash(suspects, 'poison.2', 'u2')
    crash(suspects, 'beside.3', 'u2')
    assert not suspects.is_suspect('beside.3')


def test_crashing_requests_do_not_acquit_one_another(suspects):
    """Guard against acquittal by requests that are acquitted themselves."""
    crash(suspects, 'first', 'u1', 'u2')
    crash(suspects, 'second', 'u2', 'u3')
    crash(suspects, 'third', 'u3', 'u1')
    for fingerprint in ('first', 'second', 'third'):
        assert suspects.is_quarantined(fingerprint)


def test_request_whose_crashes_others_explain_stays_a_suspect(suspects):
    """Guard against a crashing request that runs beside others again.

    Two plain requests that were each caught in another crash too look as if
    they explained its crashes.
    """
    crash(suspects, 'plain', 'u1', 'v1')
    crash(suspects, 'other', 'u2', 'v2')
    crash(suspects, 'poison', 'u1', 'u2')
    assert suspects.is_suspect('poison')
    crash(suspects, 'poison', 'u3')
    assert suspects.is_quarantined('poison')


def test_third_crash_is_not_explained_away(suspects):
    """Guard against a crashing request that is never alone."""
    for number in ('1', '2', '3'):
        crash(suspects, f'plain-{number}', f'u{number}', f'v{number}')
    crash(suspects, 'poison', 'u1', 'u2')
    assert not suspects.is_quarantined('poison')
    crash(suspects, 'poison', 'u3')
    assert suspects.is_quarantined('poison')


def test_upstream_that_answers_has_not_crashed(suspects, clock):
    """A response removes the crash, and older reports don't add it again."""
    crash(suspects, 'plain', 'u1', 'u2')
    clock.advance(100)
    suspects.record_alive('u1', clock.now_ms())
    assert not suspects.is_quarantined('plain')
    suspects.merge([Crash('plain', 'u1', 110)])
    assert not suspects.is_quarantined('plain')


def test_answer_to_an_earlier_request_shows_no_life(suspects, clock):
    """The response may have been in transit when the upstream crashed."""
    crash(suspects, 'poison', 'u1', 'u2')
    suspects.record_alive('u1', clock.now_ms() - 50)
    assert suspects.is_quarantined('poison')


def test_answer_clears_only_what_was_seen_before(suspects):
    """A response clears earlier crashes; a crash after it counts."""
    crash(suspects, 'plain', 'u1')
    suspects.merge([], [Cleared('plain', 5)])
    assert not suspects.is_suspect('plain')
    suspects.merge([Crash('plain', 'u2', 1)])
    assert suspects.is_suspect('plain')


def test_one_crash_is_told_once(suspects):
    """Reports of one crash that differ slightly in age are merged."""
    for age_ms in (10, 12, 9):
        suspects.merge([Crash('plain', 'u1', age_ms)])
    assert len(suspects.crashes()) == 1


def test_reports_that_go_round_make_no_second_crash():
    """Reports echoed between VMs must not look like a second crash.

    The transit time of each report shifts the computed time of the crash.
    """
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
    """An upstream name that is unique to a process crashes only once.

    A VM that was suspended reports wrong ages, so that one crash looks like
    two that lie far apart. Where names survive a restart they are two.
    """
    suspects = Suspects(clock, can_crash_again=False)
    suspects.merge([Crash('plain', 'u1', 20_000)])
    suspects.merge([Crash('plain', 'u1', 8000)])
    assert not suspects.is_quarantined('plain')
    suspects = Suspects(clock)
    suspects.merge([Crash('poison', 'u1', 20_000)])
    suspects.merge([Crash('poison', 'u1', 8000)])
    assert suspects.is_quarantined('poison')


def test_request_beside_two_crashing_ones_runs_alone(suspects, clock):
    """Each of its crashes is explained by a request with other crashes too.

    A crashing request may look like that, so it stays a suspect until it has
    run alone.
    """
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'other', 'v1', 'v2')
    crash(suspects, 'beside', 'u2', 'v2')
    assert not suspects.is_quarantined('beside')
    assert suspects.is_suspect('beside')
    assert suspects.is_quarantined('poison')
    assert suspects.is_quarantined('other')
    clock.advance(100)
    suspects.clear('beside')
    assert not suspects.is_suspect('beside')


def test_crash_beside_a_crashing_request_counts_with_another(suspects):
    """Two crashing requests may have been in flight at the same upstream."""
    crash(suspects, 'poison', 'u1', 'u2')
    crash(suspects, 'other', 'u2', 'v1')
    assert suspects.is_quarantined('other')


def test_mass_of_crashes_displaces_no_quarantine(suspects, monkeypatch):
    """Quarantined fingerprints are evicted last."""
    monkeypatch.setattr(_crash_records, '_MAX_FINGERPRINTS', 20)
    crash(suspects, 'poison', 'u1', 'u2')
    for number in range(100):
        crash(suspects, f'beside-{number}', f'v{number}')
    assert suspects.is_quarantined('poison')
    assert len(suspects.crashes()) < 40
