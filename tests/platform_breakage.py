"""Switches mechanisms of the platform's entry VMs off, one by one.

Run with ``make breakage``; it fails when the test of a mechanism stays green.
"""

import contextlib
import io
import itertools
import sys
from unittest import mock

import attrs
import pytest

from catkindrift.gateway import _attempt, _forwarder, _upstream_check
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._crash_reports import CrashReports
from catkindrift.gateway._gateway import Gateway
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._running_requests import RunningRequests
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.gateway._zone_changes_page import ZoneChangesPage
from catkindrift.gateway._zone_message import ZoneMessage
from catkindrift.http1 import Answer, ClientConnection, ResponseRest
from catkindrift.http1._answer_queue import AnswerQueue
from catkindrift.http1._head_collector import HeadCollector
from catkindrift.http1._request_body import RequestBody
from catkindrift.limits import SlotReservations
from catkindrift.platform import StorePage, forwarded_headers
from catkindrift.retries import Suspects
from catkindrift.retries._crash_records import CrashRecords
from catkindrift.steering import (
    ColdRateLimiter,
    Members,
    Placement,
    SharedRetryBudget,
    UpstreamRegistry,
    WeightedRotation,
)
from tests.breakage import always, report

ATTEMPT = 'tests/test_gateway.py::test_'
_NUMBERS = itertools.count()
CUT = 'tests/test_store_cut.py::test_'
CRASHING = 'tests/test_crashing_requests.py::test_'
STEERING = 'tests/test_steering.py::test_'
WATCH = 'tests/test_store_watch.py::test_'
ZONE = 'tests/test_zone_watch.py::test_'


def any_configuration(self, found):
    """Put any configuration in force."""
    decoded = sys.modules[PlatformState.__module__].decode_configuration(found)
    if decoded:
        self.configuration = decoded


def without_instance(headers, left_ms, _instance):
    """Send a request to whatever listens at an address."""
    return forwarded_headers(headers, left_ms, 'any')


def unlike_any(*_identity):
    """Return another fingerprint for each request."""
    return str(next(_NUMBERS))


def all_states(self, request, _now_ms):
    """Return the upstreams of a service wherever they are."""
    yield from self._order.registry.of_service(request.service)


async def at_once(_self):
    """Wait for nobody."""


async def told_by_all(self, request):
    """Tell what another VM told, as if it were known at first hand."""
    watch = self._find_watch('servers')
    page = watch.change_log.changes_after(0) or watch.change_log.changes_after(
        sys.maxsize
    )
    return Answer(200, [], ZoneMessage(page, None).to_json())


@attrs.frozen
class PlatformBreakage:
    """One mechanism that is switched off, and the test that must notice."""

    promise: str
    mechanism: str
    owner: object
    attribute: str
    replacement: object
    test: str


BREAKAGES = (
    PlatformBreakage(
        'MIXED',
        'an answer must be signed, a promise stated',
        PendingRequest,
        'may_forward',
        always(True),
        f'{ATTEMPT}spoiled_answer_is_never_shown',
    ),
    PlatformBreakage(
        'MIXED',
        'an answer must name its request',
        PendingRequest,
        'matches_response',
        always(True),
        f'{ATTEMPT}late_extra_answer_is_passed_over',
    ),
    PlatformBreakage(
        'MIXED',
        'surplus bytes end a connection',
        ClientConnection,
        'is_reusable',
        property(always(True)),
        f'{ATTEMPT}surplus_bytes_end_a_connection',
    ),
    PlatformBreakage(
        'UNASKED',
        'ambiguous framing is refused',
        HeadCollector,
        'check',
        always(None),
        f'{ATTEMPT}bad_input_is_refused',
    ),
    PlatformBreakage(
        'TWICE',
        'only safe requests are repeated',
        PendingRequest,
        'may_retry',
        property(always(True)),
        f'{ATTEMPT}lost_answer_of_unsafe_request_promises_nothing',
    ),
    PlatformBreakage(
        'REFUSED',
        'a bare promise is not passed on',
        PendingRequest,
        'may_forward',
        always(True),
        f'{ATTEMPT}promise_without_a_statement_is_not_passed_on',
    ),
    PlatformBreakage(
        'BUDGET',
        'the slack of retries is shared',
        SharedRetryBudget,
        'update_member_count',
        always(None),
        f'{STEERING}retry_budget_holds_over_all_entry_vms',
    ),
    PlatformBreakage(
        'BUDGET',
        'requests that crash upstreams are quarantined',
        Suspects,
        'is_quarantined',
        always(False),
        f'{ATTEMPT}request_that_crashes_upstreams_is_quarantined',
    ),
    PlatformBreakage(
        'BUDGET',
        'a repeat is known whatever its key',
        _forwarder,
        'request_fingerprint',
        unlike_any,
        f'{CRASHING}repeats_of_a_crashing_request_reach_two_upstreams',
    ),
    PlatformBreakage(
        'BUDGET',
        'an upstream is asked who it is',
        _upstream_check,
        'is_other_upstream',
        always(False),
        f'{CRASHING}upstream_that_is_back_at_once_has_crashed',
    ),
    PlatformBreakage(
        'BUDGET',
        'a refusal takes no blame back',
        _attempt.AttemptSender,
        '_release',
        _attempt.AttemptSender._finish_response,
        f'{CRASHING}refusal_by_a_full_upstream_takes_no_blame_back',
    ),
    PlatformBreakage(
        'BUDGET',
        'suspects are kept apart',
        SuspectIsolation,
        '_upstreams_running_suspects',
        always(frozenset()),
        'tests/test_suspect_isolation.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'suspects of two VMs are kept apart',
        SuspectIsolation,
        '_upstreams_of_other_vms',
        always(frozenset()),
        'tests/test_suspect_isolation.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'a suspect runs once at a time',
        RunningRequests,
        'is_assigned',
        always(False),
        f'{CRASHING}suspect_runs_once_at_a_time',
    ),
    PlatformBreakage(
        'BUDGET',
        'all crashes are told in turn',
        CrashReports,
        '_rotated_slice',
        always([]),
        'tests/test_crash_watch.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'what ran beside a crashing request is no suspect',
        CrashRecords,
        '_is_explained',
        always(False),
        'tests/test_suspects.py',
    ),
    PlatformBreakage(
        'GONE',
        'a caller who leaves cancels the work',
        AnswerQueue,
        'cancel',
        always(None),
        f'{ATTEMPT}caller_who_leaves_cancels_the_work',
    ),
    PlatformBreakage(
        'GONE',
        'a long answer is given up with its caller',
        ResponseRest,
        'close',
        always(None),
        f'{ATTEMPT}long_answer_that_waits_for_its_turn_is_cancelled',
    ),
    PlatformBreakage(
        'LOST',
        'a stop waits for requests',
        Gateway,
        '_wait_until_idle',
        at_once,
        f'{ATTEMPT}planned_stop_finishes_requests',
    ),
    PlatformBreakage(
        'LOST',
        'a body that has come resumes its connection',
        RequestBody,
        '_resume',
        always(None),
        f'{ATTEMPT}connection_goes_on_after_an_upload_that_nobody_read',
    ),
    PlatformBreakage(
        'CONFIG',
        'lower versions are passed over',
        PlatformState,
        'apply_configuration',
        any_configuration,
        'tests/test_platform_state.py::test_configuration_never_goes_back',
    ),
    PlatformBreakage(
        'CONFIG',
        'silent watches are cut',
        StalledWatchDetector,
        'is_stalled',
        always(False),
        f'{WATCH}lag_behind_peer_restarts_stalled_watch',
    ),
    PlatformBreakage(
        'CONFIG',
        'an answer that arrives is no silence',
        StalledWatchDetector,
        'record_chunk',
        always(None),
        f'{WATCH}answer_that_arrives_slowly_is_not_cut_short',
    ),
    PlatformBreakage(
        'DRAIN',
        'who is behind peers turns from the zone to the store',
        StalledWatchDetector,
        'is_stalled',
        always(False),
        f'{ZONE}follower_polls_store_when_peers_are_ahead',
    ),
    PlatformBreakage(
        'DRAIN',
        'a log says when it does not reach back',
        ChangeLog,
        'reset',
        always(None),
        f'{ZONE}serves_only_known_changes_from_store',
    ),
    PlatformBreakage(
        'DRAIN',
        'only what is known at first hand is told',
        ZoneChangesPage,
        '__call__',
        told_by_all,
        f'{ZONE}serves_only_known_changes_from_store',
    ),
    PlatformBreakage(
        'DRAIN',
        'the first answer ends an outage for all',
        StoreHealth,
        'record_response',
        always(False),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN',
        'answers to peers rule an outage out',
        StoreHealth,
        'was_reachable_during',
        always(False),
        f'{CUT}upstream_deleted_during_partition_is_removed_after_it',
    ),
    PlatformBreakage(
        'DRAIN',
        'a gap between answers to peers ends what they rule out',
        StoreHealth,
        'was_reachable_during',
        always(True),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN',
        'a VM that stood still believes no old datagram',
        StoreHealth,
        'detect_stall',
        always(None),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN, CONFIG, EVAC',
        'one answer lets all watches ask at once',
        StoreWatch,
        'retry_now',
        always(None),
        f'{WATCH}watch_retries_when_another_gets_response',
    ),
    PlatformBreakage(
        'CONFIG, DENIED',
        'versions that outpace a watch are listed',
        StorePage,
        'has_superseded_changes',
        property(always(False)),
        f'{WATCH}versions_that_outpace_watch_are_listed',
    ),
    PlatformBreakage(
        'DRAIN, EVAC',
        'draining and evacuated upstreams are closed',
        UpstreamRegistry,
        'is_eligible',
        always(True),
        f'{STEERING}draining_and_evacuated_upstreams_get_nothing',
    ),
    PlatformBreakage(
        'DRAIN',
        'silent VMs are not named',
        Members,
        'alive',
        lambda members: members.facts,
        f'{STEERING}silent_members_are_not_alive_but_keep_their_shares',
    ),
    PlatformBreakage(
        'ROUTE',
        'each send names the upstream that is meant',
        _attempt,
        'forwarded_headers',
        without_instance,
        f'{ATTEMPT}request_reaches_upstream_unchanged',
    ),
    PlatformBreakage(
        'FAILBACK',
        'the pace of a cold upstream is shared',
        ColdRateLimiter,
        'update_members',
        always(None),
        f'{STEERING}cold_pace_holds_over_all_entry_vms',
    ),
    PlatformBreakage(
        'HOME',
        'homes are asked',
        Placement,
        '_candidates',
        all_states,
        f'{STEERING}homes_bind',
    ),
    PlatformBreakage(
        'split weights',
        'services take turns by weight',
        WeightedRotation,
        'next_service',
        lambda rotation: rotation.targets[0].service,
        f'{STEERING}rotation_keeps_weights',
    ),
    PlatformBreakage(
        'no region overloaded',
        'slots are lent when all neighbours have heard',
        SlotReservations,
        'acknowledged_slots',
        lambda book, upstream, _neighbours: book.reserved_slots(upstream),
        'tests/test_far_grants.py',
    ),
)


def is_noticed(breakage):
    """Return whether a test fails with a mechanism switched off."""
    told = io.StringIO()
    patched = mock.patch.object(
        breakage.owner,
        breakage.attribute,
        breakage.replacement,
    )
    with patched, contextlib.redirect_stdout(told):
        verdict = pytest.main(['-q', '-x', '--tb=line', breakage.test])
    if verdict is pytest.ExitCode.TESTS_FAILED:
        return True
    if verdict is not pytest.ExitCode.OK:
        sys.stdout.write(told.getvalue())
    return False


if __name__ == '__main__':
    sys.exit(report(BREAKAGES, is_noticed))
