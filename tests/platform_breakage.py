"""Mutation checks for the entry VMs of the platform.

Each breakage disables one mechanism, for which the named test must fail. Run
with ``make breakage``; the run fails if a test still passes.
"""

import contextlib
import io
import itertools
import re
import sys
from unittest import mock

import attrs
import pytest

from catkindrift.blame import (
    Suspects,
    Verdict,
    _blame,
    _suspects,
    without_caller,
)
from catkindrift.gateway import (
    _attempt,
    _crash_watch,
    _forwarder,
    _handed_over_requests,
    _handover,
    _upstream_check,
    _upstream_observer,
)
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._crash_reports import CrashReports
from catkindrift.gateway._entry_vm_records import EntryVmRecords
from catkindrift.gateway._incarnation_check import IncarnationCheck
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._planned_stop import PlannedStop
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._response_deadlines import ResponseDeadlines
from catkindrift.gateway._running_requests import RunningRequests
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.gateway._urgent_heartbeats import UrgentHeartbeats
from catkindrift.gateway._zone_changes_page import ZoneChangesPage
from catkindrift.gateway._zone_message import ZoneMessage
from catkindrift.http1 import (
    CallerRequest,
    ClientConnection,
    HeaderRules,
    Response,
    ResponseBodyStream,
    _head_collector,
    _line_ends,
    _response_parser,
)
from catkindrift.http1._head_checks import check_headers
from catkindrift.http1._rejection import RejectionReason, bad_request
from catkindrift.http1._request_body import RequestBody
from catkindrift.http1._request_parser import RequestParser
from catkindrift.http1._response_queue import ResponseQueue
from catkindrift.http1._response_writer import ResponseWriter
from catkindrift.limits import SlotReservations
from catkindrift.platform import (
    StorePage,
    _response_messages,
    forwarded_headers,
)
from catkindrift.platform._store_era import StoreEra
from catkindrift.shutdown import Accepted, Refused, Shutdown
from catkindrift.steering import (
    ColdRateLimiter,
    MemberFacts,
    Members,
    Placement,
    ResponseSilence,
    SharedRetryBudget,
    UnseenRestarts,
    UpstreamLimits,
    UpstreamReachability,
    UpstreamRegistry,
    WeightedRotation,
    _upstream_registry,
)
from catkindrift.steering._kept_pauses import KeptPauses
from tests.breakage import always, report

RANDOM_HEADS = 'tests/test_random_heads.py'
GATEWAY = 'tests/test_gateway.py::test_'
STOP = 'tests/test_stop_decisions.py::test_'
CLOSING = 'tests/test_closing_connections.py::test_'
_NUMBERS = itertools.count()
COLD = 'tests/test_cold_rate.py::test_'
STRANDED = 'tests/test_stranded_vms.py::test_'
REACH = 'tests/test_upstream_reachability.py::test_'
STORE_CUT = 'tests/test_store_cut.py::test_'
CRASHING = 'tests/test_crashing_requests.py::test_'
STEERING = 'tests/test_steering.py::test_'
ENDLESS = 'tests/test_endless_responses.py::test_'
RECORDS = 'tests/test_entry_vm_records.py::test_'
LIMITS = 'tests/test_upstream_limits.py::test_'
SUSPECTS = 'tests/test_suspects.py::test_'
RESTARTED = 'tests/test_restarted_upstreams.py::test_'
WATCH = 'tests/test_store_watch.py::test_'
ZONE = 'tests/test_zone_watch.py::test_'


def apply_any_configuration(self, found):
    """Apply every configuration, whatever its version."""
    decoded = sys.modules[PlatformState.__module__].decode_configuration(found)
    if decoded:
        self.configuration = decoded


def headers_for_any_instance(headers, left_ms, _instance):
    """Return request headers that accept any upstream at the address."""
    return forwarded_headers(headers, left_ms, 'any')


def unique_fingerprint(*_identity):
    """Return a different fingerprint for each request."""
    return str(next(_NUMBERS))


def upstreams_in_any_region(self, request, _now_ms):
    """Yield the upstreams of a service in all regions."""
    yield from self._order.registry.of_service(request.service)


async def never_restarted(_self, _upstream):
    """Return that no newer start was stated."""
    return _upstream_check.Liveness.UNPROVEN


def forget_connection(record_alive):
    """Return `record_alive` without the age of the connection."""
    return lambda suspects, upstream, since_ms, _connected_ms: record_alive(
        suspects, upstream, since_ms
    )


def forget_send_time(record):
    """Return `record` that takes every response for the newest."""
    return lambda limits, upstream, per_second, _sent_ms: record(
        limits, upstream, per_second, sys.maxsize
    )


def reject_ignored_options(check):
    """Return `check` that rejects options that are ignored."""

    def rejecting(headers, rules, version):
        if rules.ignored_options(headers):
            return bad_request(RejectionReason.FRAMING, 'misused option')
        return check(headers, rules, version)

    return rejecting


def know_only_itself(limits, _names):
    """Divide a limit as if no other entry VM existed."""
    limits._members = (limits._own_name,)


def send_for_each(urgent):
    """Send a heartbeat at once, however many there are."""
    urgent._heartbeats.send_heartbeat(to_all_regions=True)


def all_crashes(reports):
    """Return all crashes that a VM knows."""
    return reports._suspects.crashes()


def count_only_itself(budget, _count):
    """Divide the budget as if no other entry VM existed."""
    budget._member_count = 1


def forget_counts(limiter, upstream_ids):
    """Drop the counts of unlisted upstreams at once."""
    for removed in limiter._send_times_ms.keys() - upstream_ids:
        limiter._send_times_ms.pop(removed)


def fail_with_probe(reachability, incarnation):
    """Take any failed connect for a failed probe too."""
    now_ms = reachability._clock.now_ms()
    reachability._failed_ms.setdefault(incarnation, now_ms)
    reachability.record_failed_probe()


def connected_now(record_connect):
    """Return `record_connect` that takes a connect for one that began now."""
    return lambda reachability, _began_ms: record_connect(
        reachability, reachability._clock.now_ms()
    )


def reached_by_peer(record_peer):
    """Return `record_peer` that takes any heartbeat for a reached upstream."""
    return lambda reachability, _age_ms: record_peer(reachability, 0)


def choose_any(handover, _pending, tried):
    """Return a receiver without regard to home regions."""
    alive = handover._members.alive()
    return next((each for each in alive if each.name not in tried), None)


def explain_by_any(blame, fingerprint, own):
    """Let requests explain crashes that are explained themselves."""
    others = blame._explaining(fingerprint, own)
    return tuple(others) if _blame.is_covered(own, others) else ()


def count_for_all_callers_only(suspects, fingerprint):
    """Return the blame of a request of all callers, twice."""
    request = without_caller(fingerprint)
    shared = (suspects._of_all_callers, request)
    return (shared, shared)


async def no_neighbour_responds(_check, _upstream):
    """Return that no other upstream of the zone responds."""
    return False


async def start_is_known(_sender, _upstream):
    """Return that the start of an upstream is known to run."""
    return True


async def never_cut_off(_check, _began_ms):
    """Return that a refused connect shows the end of an upstream."""
    return False


async def return_immediately(_self):
    """Return without waiting for running requests."""


async def unconfirmed_changes_page(self, request):
    """Serve changes learned from peers as if the store had confirmed them."""
    watch = self._find_watch('servers')
    page = watch.change_log.changes_after(0) or watch.change_log.changes_after(
        sys.maxsize
    )
    return Response(200, [], ZoneMessage(page, None).to_json())


@attrs.frozen
class PlatformBreakage:
    """One mechanism that is disabled, and the test that must fail."""

    promise: str
    mechanism: str
    owner: object
    attribute: str
    replacement: object
    test: str


BREAKAGES = (
    PlatformBreakage(
        'UNASKED',
        'Connection removes no header for all recipients',
        HeaderRules,
        '_is_end_to_end',
        always(False),
        RANDOM_HEADS,
    ),
    PlatformBreakage(
        'DENIED',
        'requests whose Connection names such a header run',
        _head_collector,
        'check_headers',
        reject_ignored_options(check_headers),
        RANDOM_HEADS,
    ),
    PlatformBreakage(
        'DENIED',
        'a tab that ends a line is no part of a coding',
        _line_ends,
        '_blanks_with_tabs',
        always(()),
        RANDOM_HEADS,
    ),
    PlatformBreakage(
        'UNASKED',
        'a body beside an offer of another protocol is read as a body',
        RequestParser,
        '_replace_parser',
        return_immediately,
        RANDOM_HEADS,
    ),
    PlatformBreakage(
        'UNASKED',
        'options that name such a header are counted and logged',
        HeaderRules,
        'ignored_options',
        always(frozenset()),
        'tests/test_connection_options.py',
    ),
    PlatformBreakage(
        'UNASKED',
        'requests with two lines of a single header are rejected',
        HeaderRules,
        'repeated_header',
        always(b''),
        RANDOM_HEADS,
    ),
    PlatformBreakage(
        'TWICE',
        'callers and upstreams state no headers of hand-overs',
        HeaderRules,
        'without_reserved',
        lambda _rules, headers: headers,
        'tests/test_stated_headers.py',
    ),
    PlatformBreakage(
        'UNASKED',
        'the receiver of a hand-over reads the lines of its sender',
        _handed_over_requests,
        '_stated_by_sender',
        CallerRequest.header,
        'tests/test_stated_headers.py::test_receiver_believes_the_last_line_only',
    ),
    PlatformBreakage(
        'MIXED',
        'responses of other codings are malformed',
        _response_parser,
        '_CHUNKED',
        b'gzip, chunked',
        'tests/test_connection_reuse.py',
    ),
    PlatformBreakage(
        'MIXED',
        'successful responses must be signed',
        PendingRequest,
        'may_forward',
        always(True),
        f'{GATEWAY}spoiled_answer_is_never_shown',
    ),
    PlatformBreakage(
        'MIXED',
        'responses must carry the id of their request',
        PendingRequest,
        'matches_response',
        always(True),
        f'{GATEWAY}late_extra_answer_is_passed_over',
    ),
    PlatformBreakage(
        'MIXED',
        'surplus bytes after a response close the connection',
        ClientConnection,
        'is_reusable',
        property(always(True)),
        f'{GATEWAY}surplus_bytes_end_a_connection',
    ),
    PlatformBreakage(
        'UNASKED',
        'requests with ambiguous framing are rejected',
        _head_collector.HeadCollector,
        'check',
        always(None),
        f'{GATEWAY}bad_input_is_refused',
    ),
    PlatformBreakage(
        'TWICE',
        'only safe requests are retried',
        PendingRequest,
        'may_retry',
        property(always(True)),
        f'{GATEWAY}lost_answer_of_unsafe_request_promises_nothing',
    ),
    PlatformBreakage(
        'REFUSED',
        'a 503 without Not-Executed is not forwarded',
        PendingRequest,
        'may_forward',
        always(True),
        f'{GATEWAY}promise_without_a_statement_is_not_passed_on',
    ),
    PlatformBreakage(
        'BUDGET',
        'the retry slack is shared among entry VMs',
        SharedRetryBudget,
        'update_member_count',
        count_only_itself,
        f'{STEERING}retry_budget_holds_over_all_entry_vms',
    ),
    PlatformBreakage(
        'BUDGET',
        'requests that crash upstreams are quarantined',
        Suspects,
        'is_quarantined',
        always(False),
        f'{GATEWAY}request_that_crashes_upstreams_is_quarantined',
    ),
    PlatformBreakage(
        'BUDGET',
        'repeats have the same fingerprint whatever their key',
        _forwarder,
        'request_fingerprint',
        unique_fingerprint,
        f'{CRASHING}repeats_of_a_crashing_request_reach_two_upstreams',
    ),
    PlatformBreakage(
        'BUDGET',
        'health checks compare the instance id',
        _upstream_check,
        'is_other_upstream',
        always(False),
        f'{CRASHING}upstream_that_is_back_at_once_has_crashed',
    ),
    PlatformBreakage(
        'BUDGET',
        'a refusal by an upstream clears no blame',
        _attempt.AttemptSender,
        '_release',
        _attempt.AttemptSender._finish_response,
        f'{CRASHING}refusal_by_a_full_upstream_takes_no_blame_back',
    ),
    PlatformBreakage(
        'BUDGET',
        'suspects do not share an upstream',
        SuspectIsolation,
        '_upstreams_running_suspects',
        always(frozenset()),
        'tests/test_suspect_isolation.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'suspects of different entry VMs do not share an upstream',
        SuspectIsolation,
        '_upstreams_of_other_vms',
        always(frozenset()),
        'tests/test_suspect_isolation.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'a suspect has one attempt at a time',
        RunningRequests,
        'is_assigned',
        always(False),
        f'{CRASHING}suspect_runs_once_at_a_time',
    ),
    PlatformBreakage(
        'BUDGET',
        'heartbeats rotate through all crash reports',
        CrashReports,
        '_rotated_slice',
        always([]),
        'tests/test_crash_watch.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'requests that ran beside a known crasher are not suspects',
        _blame.Blame,
        'explain',
        always(()),
        'tests/test_suspects.py',
    ),
    PlatformBreakage(
        'BUDGET',
        'crashes count for a request of all callers',
        _suspects,
        'without_caller',
        str,
        f'{CRASHING}repeats_from_other_addresses_reach_two_upstreams',
    ),
    PlatformBreakage(
        'BUDGET',
        'crashes count for each caller too',
        Suspects,
        '_scopes',
        count_for_all_callers_only,
        f'{SUSPECTS}caller_that_crashes_what_others_run_is_quarantined',
    ),
    PlatformBreakage(
        'BUDGET',
        'a failure clears no blame',
        _attempt,
        '_is_server_error',
        always(False),
        f'{CRASHING}failure_of_an_upstream_takes_no_blame_back',
    ),
    PlatformBreakage(
        'BUDGET',
        'only proven requests explain the crashes of others',
        _blame.Blame,
        'explain',
        explain_by_any,
        f'{SUSPECTS}crashing_requests_do_not_acquit_one_another',
    ),
    PlatformBreakage(
        'BUDGET',
        'a request with two explained crashes stays a suspect',
        Verdict,
        'is_suspect',
        property(lambda verdict: verdict.is_quarantined),
        f'{SUSPECTS}request_whose_crashes_others_explain_stays_a_suspect',
    ),
    PlatformBreakage(
        'BUDGET',
        'a third crash is not explained',
        _blame,
        '_MAX_EXPLAINED_CRASHES',
        sys.maxsize,
        f'{SUSPECTS}third_crash_is_not_explained_away',
    ),
    PlatformBreakage(
        'BUDGET',
        'a mass crash counts once for a request that ran whole',
        _blame,
        '_MASS_CRASH_MS',
        -1,
        f'{SUSPECTS}common_request_in_a_mass_crash_is_not_quarantined',
    ),
    PlatformBreakage(
        'BUDGET',
        'neighbours show whether a silent upstream has ended',
        IncarnationCheck,
        '_has_live_neighbours',
        no_neighbour_responds,
        'tests/test_crash_watch.py::test_silent_upstream_beside_live_'
        'neighbours_has_ended',
    ),
    PlatformBreakage(
        'BUDGET',
        'a silent connection shows no life',
        _upstream_check,
        '_liveness_of_busy',
        always(_upstream_check.Liveness.ALIVE),
        'tests/test_silent_upstreams.py::test_port_that_takes_connections_is_'
        'no_proof_of_life',
    ),
    PlatformBreakage(
        'BUDGET',
        'an entry that lapses shows that its upstream has ended',
        _crash_watch,
        '_REMOVAL_NOTICE_MS',
        -1,
        'tests/test_crash_watch.py::test_unreachable_upstream_whose_entry_'
        'lapses_has_ended',
    ),
    PlatformBreakage(
        'BUDGET',
        'a pause outlives the entry of its upstream',
        KeptPauses,
        'take',
        always(0),
        'tests/test_leaving_upstreams.py::test_entry_that_lapses_and_returns_'
        'keeps_the_pause',
    ),
    PlatformBreakage(
        'BUDGET',
        'a newer start replaces the state of an upstream',
        _upstream_registry,
        '_has_restarted',
        always(False),
        'tests/test_platform_state.py::test_nothing_is_kept_of_a_start_that_'
        'another_one_replaced',
    ),
    PlatformBreakage(
        'BUDGET',
        'the entry of an upstream confirms that it has restarted',
        IncarnationCheck,
        '_wait_for_newer_start',
        never_restarted,
        f'{RESTARTED}upstream_that_restarts_under_its_id_has_crashed',
    ),
    PlatformBreakage(
        'BUDGET',
        'only an older connection proves that a start lives',
        Suspects,
        'record_alive',
        forget_connection(Suspects.record_alive),
        'tests/test_crash_watch.py::test_answer_proves_life_only_on_an_older_'
        'connection',
    ),
    PlatformBreakage(
        'BUDGET',
        'crash reports are read from the store',
        EntryVmRecords,
        '_merge',
        always(None),
        f'{RESTARTED}vms_that_hear_only_the_store_share_crashes',
    ),
    PlatformBreakage(
        'CONFIG, DRAIN',
        'news share the next heartbeat',
        UrgentHeartbeats,
        'send',
        send_for_each,
        f'{RECORDS}records_that_come_together_do_not_flood_the_link',
    ),
    PlatformBreakage(
        'CONFIG, DRAIN',
        'a record holds what its VM has seen itself',
        CrashReports,
        'stored_crashes',
        all_crashes,
        'tests/test_crash_watch.py::test_stored_record_does_not_repeat_those_of_'
        'other_vms',
    ),
    PlatformBreakage(
        'bytes without end',
        'a response that consists of framing is ended',
        _response_parser,
        '_MAX_OVERHEAD_BYTES',
        1_000_000_000_000,
        f'{ENDLESS}endless_bytes_are_not_read_until_the_deadline',
    ),
    PlatformBreakage(
        'bytes without end',
        'a body ends at the deadline',
        _attempt.AttemptSender,
        '_limit_body_time',
        always(None),
        f'{ENDLESS}endless_body_ends_at_the_deadline',
    ),
    PlatformBreakage(
        'GONE',
        'a caller that disconnects cancels its requests',
        ResponseQueue,
        'cancel',
        always(None),
        f'{GATEWAY}caller_who_leaves_cancels_the_work',
    ),
    PlatformBreakage(
        'GONE',
        'a streamed response ends when its caller disconnects',
        ResponseBodyStream,
        'close',
        always(None),
        f'{GATEWAY}long_answer_that_waits_for_its_turn_is_cancelled',
    ),
    PlatformBreakage(
        'LOST',
        'a graceful stop waits for running requests',
        PlannedStop,
        '_wait_until_idle',
        return_immediately,
        f'{GATEWAY}planned_stop_finishes_requests',
    ),
    PlatformBreakage(
        'LOST',
        'a stopping VM refuses what may outlast the stop',
        Shutdown,
        'decide',
        lambda _shutdown, _arrived_ms, due_ms, _longest_ms: Accepted(due_ms),
        f'{STOP}request_that_may_outlast_the_stop_is_refused_at_once',
    ),
    PlatformBreakage(
        'LOST',
        'a stopping VM serves what is due in time',
        Shutdown,
        'decide',
        always(Refused(0)),
        f'{STOP}request_that_is_due_in_time_is_served',
    ),
    PlatformBreakage(
        'LOST',
        'requests in progress are due at the end of the stop',
        ResponseDeadlines,
        'bring_forward',
        always(None),
        f'{STOP}request_from_before_the_stop_gets_an_answer_at_its_end',
    ),
    PlatformBreakage(
        'LOST',
        'upstreams are told the time that a stop has left',
        PendingRequest,
        'upstream_time_ms',
        lambda pending, now_ms: pending.deadline_ms - now_ms,
        f'{STOP}likely_request_gives_its_upstream_the_time_of_the_stop',
    ),
    PlatformBreakage(
        'LOST',
        'nothing is read behind a last response',
        RequestParser,
        'stop_after_current',
        always(None),
        f'{CLOSING}request_behind_the_last_response_is_not_begun',
    ),
    PlatformBreakage(
        'LOST',
        'connections are busy until their response is sent',
        ResponseWriter,
        'has_unsent_bytes',
        property(always(False)),
        f'{CLOSING}connection_is_busy_until_its_response_is_sent',
    ),
    PlatformBreakage(
        'LOST',
        'a connection lingers after its last response',
        ResponseWriter,
        'finish',
        always(False),
        f'{CLOSING}bytes_behind_the_last_response_do_not_reset_it',
    ),
    PlatformBreakage(
        'LOST',
        'a fully received body resumes reading',
        RequestBody,
        '_resume',
        always(None),
        f'{GATEWAY}connection_goes_on_after_an_upload_that_nobody_read',
    ),
    PlatformBreakage(
        'CONFIG',
        'lower configuration versions are ignored',
        PlatformState,
        'apply_configuration',
        apply_any_configuration,
        'tests/test_platform_state.py::test_configuration_never_goes_back',
    ),
    PlatformBreakage(
        'CONFIG',
        'stalled watches are restarted',
        StalledWatchDetector,
        'is_stalled',
        always(False),
        f'{WATCH}lag_behind_peer_restarts_stalled_watch',
    ),
    PlatformBreakage(
        'CONFIG',
        'a watch that receives data is not stalled',
        StalledWatchDetector,
        'record_chunk',
        always(None),
        f'{WATCH}answer_that_arrives_slowly_is_not_cut_short',
    ),
    PlatformBreakage(
        'DRAIN',
        'a follower that lags behind peers polls the store',
        StalledWatchDetector,
        'is_stalled',
        always(False),
        f'{ZONE}follower_polls_store_when_peers_are_ahead',
    ),
    PlatformBreakage(
        'DRAIN',
        'the change log serves no revisions before its start',
        ChangeLog,
        'reset',
        always(None),
        f'{ZONE}serves_only_known_changes_from_store',
    ),
    PlatformBreakage(
        'DRAIN',
        'only changes confirmed by the store are served to the zone',
        ZoneChangesPage,
        '__call__',
        unconfirmed_changes_page,
        f'{ZONE}serves_only_known_changes_from_store',
    ),
    PlatformBreakage(
        'DRAIN',
        'the first store response ends the outage for all watches',
        StoreHealth,
        'record_response',
        always(False),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN',
        'store responses to peers rule out an outage',
        StoreHealth,
        'was_reachable_during',
        always(False),
        f'{STORE_CUT}upstream_deleted_during_partition_is_removed_after_it',
    ),
    PlatformBreakage(
        'DRAIN',
        'store responses with a gap rule out no outage',
        StoreHealth,
        'was_reachable_during',
        always(True),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN',
        'after a stall of the process, old datagrams are ignored',
        StoreHealth,
        'detect_stall',
        always(None),
        'tests/test_store_watch.py::TestStoreHealth',
    ),
    PlatformBreakage(
        'DRAIN, CONFIG, EVAC',
        'one store response makes all watches retry at once',
        StoreWatch,
        'retry_now',
        always(None),
        f'{WATCH}watch_retries_when_another_gets_response',
    ),
    PlatformBreakage(
        'CONFIG, DENIED',
        'a superseded watch page triggers a list',
        StorePage,
        'has_superseded_changes',
        property(always(False)),
        f'{WATCH}versions_that_outpace_watch_are_listed',
    ),
    PlatformBreakage(
        'DRAIN, EVAC',
        'draining and evacuated upstreams get no requests',
        UpstreamRegistry,
        'is_eligible',
        always(True),
        f'{STEERING}draining_and_evacuated_upstreams_get_nothing',
    ),
    PlatformBreakage(
        'DRAIN',
        'silent entry VMs are not listed as alive',
        Members,
        'alive',
        lambda members: members.facts,
        f'{STEERING}silent_members_are_not_alive_but_keep_their_shares',
    ),
    PlatformBreakage(
        'ROUTE',
        'each attempt names the intended upstream',
        _attempt,
        'forwarded_headers',
        headers_for_any_instance,
        f'{GATEWAY}request_reaches_upstream_unchanged',
    ),
    PlatformBreakage(
        'FAILBACK',
        'the cold rate limit is shared among entry VMs',
        ColdRateLimiter,
        'update_members',
        know_only_itself,
        f'{STEERING}cold_pace_holds_over_all_entry_vms',
    ),
    PlatformBreakage(
        'FAILBACK',
        'a VM that cannot know the others has no share',
        Members,
        'sharers',
        Members.names,
        f'{COLD}sum_over_all_vms_stays_within_the_cold_rate',
    ),
    PlatformBreakage(
        'FAILBACK',
        'names known from the store are passed on',
        Members,
        'unheard_records',
        (),
        f'{COLD}names_known_from_the_store_are_passed_on',
    ),
    PlatformBreakage(
        'FAILBACK',
        'counts outlive the entry of an upstream',
        ColdRateLimiter,
        'keep_only',
        forget_counts,
        f'{STEERING}requests_of_the_last_second_count_after_an_upstream_'
        'became_cold',
    ),
    PlatformBreakage(
        'FAILBACK',
        'an upstream that may have restarted counts as cold',
        UnseenRestarts,
        'expect',
        always(None),
        f'{COLD}restarted_upstream_gets_the_cold_rate_before_its_entry_arrives',
    ),
    PlatformBreakage(
        'FAILBACK',
        'a first connection is asked for the start of the upstream',
        _attempt.AttemptSender,
        '_confirm_start',
        start_is_known,
        'tests/test_cold_upstreams.py::test_idle_vm_asks_for_the_start_before_it_'
        'sends',
    ),
    PlatformBreakage(
        'RECOVER',
        'requests are handed over while the VM is cut off',
        _handover.Handover,
        'is_needed',
        property(always(False)),
        f'{STRANDED}callers_of_a_stranded_vm_are_served_like_others',
    ),
    PlatformBreakage(
        'RECOVER',
        'directories leave out VMs that reach no upstream',
        MemberFacts,
        'can_serve',
        property(lambda facts: facts.is_ready),
        f'{STRANDED}directories_leave_a_stranded_vm_out',
    ),
    PlatformBreakage(
        'RECOVER',
        'silence of all upstreams calls for a probe',
        ResponseSilence,
        'is_suspicious',
        property(always(False)),
        f'{REACH}silence_of_all_upstreams_calls_for_a_probe',
    ),
    PlatformBreakage(
        'RECOVER',
        'a probe has to fail before a VM counts as cut off',
        UpstreamReachability,
        'record_failed_connect',
        fail_with_probe,
        f'{REACH}many_failures_are_no_cut_before_a_probe_has_failed',
    ),
    PlatformBreakage(
        'RECOVER',
        'other VMs have to reach upstreams',
        UpstreamReachability,
        'record_peer',
        reached_by_peer(UpstreamReachability.record_peer),
        f'{REACH}upstreams_that_all_crashed_are_no_cut',
    ),
    PlatformBreakage(
        'RECOVER, HOME',
        'a body is handed over to its home regions only',
        _handover.Handover,
        '_choose',
        choose_any,
        f'{STRANDED}body_is_not_handed_over_to_another_region',
    ),
    PlatformBreakage(
        'RECOVER, BUDGET',
        'a connect shows reach from its begin only',
        UpstreamReachability,
        'record_connect',
        connected_now(UpstreamReachability.record_connect),
        f'{REACH}connect_that_began_before_a_failure_is_no_proof_of_reach',
    ),
    PlatformBreakage(
        'RECOVER, BUDGET',
        'a cut is not taken for crashes',
        IncarnationCheck,
        '_is_cut_off',
        never_cut_off,
        f'{STRANDED}cut_is_not_taken_for_crashes_of_upstreams',
    ),
    PlatformBreakage(
        'DRAIN',
        'an upstream that states that it leaves gets nothing more',
        _upstream_observer,
        'is_leaving',
        always(False),
        'tests/test_leaving_upstreams.py::test_upstream_that_says_it_leaves_gets_'
        'no_further_request',
    ),
    PlatformBreakage(
        'BUDGET',
        'an upstream gets the pause that it asks for',
        _upstream_observer,
        'requested_pause_ms',
        always(0),
        'tests/test_leaving_upstreams.py::test_refusal_tells_when_the_pause_'
        'ends',
    ),
    PlatformBreakage(
        'CONFIG, DRAIN',
        'revisions of a newer era are greater',
        StoreEra,
        'qualify',
        lambda _era, revision: revision,
        'tests/test_store_era.py::test_changes_of_a_new_era_are_applied',
    ),
    PlatformBreakage(
        'LIMIT',
        'the limit of an upstream is shared among entry VMs',
        UpstreamLimits,
        'update_members',
        always(None),
        f'{LIMITS}sum_over_all_vms_stays_within_the_limit',
    ),
    PlatformBreakage(
        'LIMIT',
        'an upstream whose share is spent gets no requests',
        UpstreamLimits,
        'wait_ms',
        always(0),
        f'{LIMITS}others_take_what_a_limited_upstream_does_not',
    ),
    PlatformBreakage(
        'LIMIT',
        'an older response does not undo a newer one',
        UpstreamLimits,
        'record',
        forget_send_time(UpstreamLimits.record),
        f'{LIMITS}newest_statement_counts',
    ),
    PlatformBreakage(
        'LIMIT',
        'entry VMs that are never heard share the limits',
        Members,
        'record_registration',
        always(None),
        'tests/test_entry_vm_records.py::test_registered_vm_counts_until_its_'
        'record_is_old',
    ),
    PlatformBreakage(
        'LIMIT',
        'a malformed limit is not taken for a number',
        _response_messages,
        '_DECIMAL',
        re.compile(b'.*'),
        f'{LIMITS}malformed_limit_is_named',
    ),
    PlatformBreakage(
        'HOME',
        'home regions restrict the candidates',
        Placement,
        '_candidates',
        upstreams_in_any_region,
        f'{STEERING}homes_bind',
    ),
    PlatformBreakage(
        'split weights',
        'services of a route are rotated by weight',
        WeightedRotation,
        'next_service',
        lambda rotation: rotation.targets[0].service,
        f'{STEERING}rotation_keeps_weights',
    ),
    PlatformBreakage(
        'no region overloaded',
        'slots are lent once all peers acknowledged the reservation',
        SlotReservations,
        'acknowledged_slots',
        lambda slots, upstream, _peers: slots.reserved_slots(upstream),
        'tests/test_far_grants.py',
    ),
)


def is_noticed(breakage):
    """Return whether the test fails with the mechanism disabled."""
    output = io.StringIO()
    patched = mock.patch.object(
        breakage.owner,
        breakage.attribute,
        breakage.replacement,
    )
    with patched, contextlib.redirect_stdout(output):
        exit_code = pytest.main(['-q', '-x', '--tb=line', breakage.test])
    if exit_code is pytest.ExitCode.TESTS_FAILED:
        return True
    if exit_code is not pytest.ExitCode.OK:
        sys.stdout.write(output.getvalue())
    return False


if __name__ == '__main__':
    sys.exit(report(BREAKAGES, is_noticed))
