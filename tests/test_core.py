"""Tests of the decision core with a simulated fleet."""

import attrs
import pytest

from catkindrift.blame import Crash
from catkindrift.core import (
    RefusalReason,
    StopRequested,
    UpstreamProbed,
)
from catkindrift.domain import (
    BringBackIntent,
    Drain,
    DrainIntent,
    DrainScope,
    Shift,
    ShiftIntent,
    VmRole,
)
from catkindrift.plans import Planner, add_plan, confirm_plan
from catkindrift.retries import (
    Answered,
    Interrupted,
    InterruptedReason,
    Outcome,
)
from tests.fakes import Fleet

NORTH = 'north-1-a'
NORTH_B = 'north-1-b'
SOUTH = 'south-1-a'


def confirm_intent(fleet, vm, intent):
    """Plan an intent, confirm the plan and return its name."""
    name = f'plan-{fleet.configuration.revision}'
    plan = Planner(fleet.configuration, fleet.view(vm)).plan(name, intent)
    proposed = add_plan(fleet.configuration, plan)
    fleet.configuration = confirm_plan(proposed, name, fleet.clock.wall_ms())
    return name


def region_of(fleet, vm):
    """Return the region of a VM."""
    return fleet.configuration.region_of(vm.zone)


class TestRouting:
    """Requests go to the nearest upstream with a free slot."""

    def test_same_zone_first(self):
        """No request leaves the zone while the zone has free slots."""
        fleet = Fleet()
        for _ in range(3):
            fleet.arrive(NORTH, 'read')
        zones = {upstream.zone for _, _, upstream in fleet.dispatches}
        assert zones == {'north-1'}

    def test_spreads_over_upstreams(self):
        """Two concurrent requests go to two upstreams."""
        fleet = Fleet()
        fleet.arrive(NORTH, 'read')
        fleet.arrive(NORTH, 'read')
        names = {upstream.name for _, _, upstream in fleet.dispatches}
        assert len(names) == 2

    def test_borrows_in_zone_before_waiting(self):
        """When own slots are taken, the other VM of the zone lends its own."""
        fleet = Fleet()
        fleet.warm_up()
        for _ in range(6):
            fleet.arrive(NORTH, 'read')
            fleet.advance(100)
        in_zone = [
            upstream
            for _, _, upstream in fleet.dispatches
            if upstream.zone == 'north-1'
        ]
        own = fleet.vms[NORTH].core.slots
        owned = sum(
            own.owned(each)
            for each in fleet.vms[NORTH].core.state.upstreams.of_service('read')
        )
        assert len(in_zone) > owned

    def test_unused_slots_of_the_neighbour_are_tried(self):
        """One busy VM can use all slots of its zone while the other is idle.

        Attempts beyond the own share are made without a grant; they use the
        retry budget, which the first requests fill.
        """
        fleet = Fleet()
        fleet.warm_up()
        for _ in range(12):
            fleet.arrive(NORTH, 'read')
            fleet.answer(fleet.attempts[0])
        for _ in range(6):
            fleet.arrive(NORTH, 'read')
            fleet.advance(500)
        in_zone = [each for each in fleet.attempts if 'north' in each.upstream]
        assert len(in_zone) == 2 * fleet.slots

    def test_trying_beyond_the_share_stays_in_the_budget(self):
        """Attempts never exceed requests by more than 10%.

        With both VMs of the zone busy, attempts beyond the own share are
        refused by the upstream and retried.
        """
        fleet = Fleet()
        fleet.warm_up()
        for _ in range(100):
            fleet.arrive(NORTH, 'read')
            fleet.arrive(NORTH_B, 'read')
            if len(fleet.attempts) > 5:
                fleet.answer(fleet.attempts[0])
        assert len(fleet.dispatches) <= len(fleet.requests) * 1.1
        assert not fleet.breaches()

    def test_far_region_only_with_grant(self):
        """A full region sends requests to another one, within its grants."""
        fleet = Fleet()
        for _ in range(16):
            fleet.arrive(NORTH, 'load')
            fleet.advance(100)
        fleet.advance(1000)
        far = [
            upstream
            for _, _, upstream in fleet.dispatches
            if upstream.zone == 'south-1'
        ]
        assert far
        assert not fleet.breaches()

    def test_ejected_upstream_gets_a_rest(self):
        """Repeated failures eject an upstream, but never all of a service."""
        fleet = Fleet()
        for name in ('read-north-1-0', 'read-north-1-1'):
            fleet.down_upstreams.add(name)
        for _ in range(20):
            fleet.arrive(NORTH, 'read')
        now_ms = fleet.clock.now_ms()
        upstreams = fleet.vms[NORTH].core.state.upstreams.of_service('read')
        ejected = [each for each in upstreams if each.is_ejected(now_ms)]
        assert len(ejected) == 1


class TestLimits:
    """Requests that cannot finish in time are refused early."""

    def test_full_queue_refuses_as_not_run(self):
        """Requests beyond slots and queue limit are refused at once."""
        fleet = Fleet()
        ids = [fleet.arrive(NORTH, 'load') for _ in range(40)]
        refused = [fleet.answers[each] for each in ids if each in fleet.answers]
        assert refused
        assert {each.reason for each in refused} == {RefusalReason.QUEUE_FULL}
        assert {each.outcome for each in refused} == {Outcome.NOT_RUN}
        assert all(each.retry_after_ms for each in refused)

    def test_surge_leaves_other_services_alone(self):
        """A surge of one service does not block requests of another."""
        fleet = Fleet()
        for _ in range(60):
            fleet.arrive(NORTH, 'load')
        before = len(fleet.attempts)
        fleet.arrive(NORTH, 'read')
        assert len(fleet.attempts) == before + 1

    def test_waiting_past_deadline(self):
        """A request whose deadline passes in the queue is refused."""
        fleet = Fleet()
        ids = [fleet.arrive(NORTH, 'read') for _ in range(14)]
        fleet.advance(5000)
        reasons = {fleet.answers[each].reason for each in ids[-2:]}
        assert reasons == {RefusalReason.DEADLINE_EXCEEDED}

    def test_nothing_is_dispatched_after_its_deadline(self):
        """A queued request is not sent once its deadline has passed.

        A slot becomes free after the deadline but before the tick that would
        expire the request.
        """
        fleet = Fleet()
        ids = [fleet.arrive(NORTH, 'read') for _ in range(14)]
        fleet.clock.advance(5000)
        before = len(fleet.dispatches)
        fleet.answer(fleet.attempts[0])
        assert len(fleet.dispatches) == before
        fleet.advance(100)
        assert fleet.answers[ids[-1]].reason is RefusalReason.DEADLINE_EXCEEDED

    def test_no_upstream_left_is_said_at_once(self):
        """A request is refused at once when no upstream can run it."""
        fleet = Fleet()
        for name in fleet.vm_list:
            if name.startswith('read'):
                fleet.down_upstreams.add(name)
        request_id = fleet.arrive(NORTH, 'read')
        assert fleet.answers[request_id].outcome is Outcome.NOT_RUN

    def test_no_upstream_left_while_waiting(self):
        """Waiting requests are refused when the last upstream is drained."""
        fleet = Fleet()
        ids = [fleet.arrive(NORTH, 'load') for _ in range(20)]
        fleet.configuration = attrs.evolve(
            fleet.configuration,
            revision=fleet.configuration.revision + 1,
            drains=tuple(Drain(DrainScope.VM, each) for each in fleet.vm_list),
        )
        fleet.advance(1000)
        assert fleet.answers[ids[-1]].reason is RefusalReason.NO_UPSTREAM


class TestRetries:
    """Only safe retries are made, within the retry budget."""

    def test_unsafe_request_is_not_retried(self):
        """A write whose connection broke ends with an unknown outcome."""
        fleet = Fleet()
        request_id = fleet.arrive(NORTH, 'load', method='POST')
        broken = Interrupted(InterruptedReason.RESET, can_resend=True)
        fleet.end(fleet.attempts[0], broken)
        assert fleet.answers[request_id].outcome is Outcome.UNKNOWN
        assert not fleet.attempts

    def test_idempotent_request_is_retried_elsewhere(self):
        """A read that timed out is retried at another upstream."""
        fleet = Fleet()
        for _ in range(20):
            fleet.arrive(NORTH, 'read')
            fleet.answer(fleet.attempts[0])
        fleet.arrive(NORTH, 'read')
        first = fleet.attempts[0]
        fleet.end(
            first, Interrupted(InterruptedReason.TIMEOUT, can_resend=True)
        )
        assert fleet.attempts[0].upstream != first.upstream

    def test_budget_bounds_retries(self):
        """Retries never exceed 10% of the requests."""
        fleet = Fleet()
        broken = Interrupted(InterruptedReason.TIMEOUT, can_resend=True)
        for _ in range(100):
            fleet.arrive(NORTH, 'read')
            while fleet.attempts:
                fleet.end(fleet.attempts[0], broken)
            fleet.advance(100)
        budget = fleet.vms[NORTH].core.state.retry_budget
        assert 0 < budget.retries <= budget.requests / 10


class DelayedProbes(Fleet):
    """Fleet whose probe results are delivered on request."""

    def post(self, name, event):
        """Hold back probe results, and deliver all other events."""
        if isinstance(event, UpstreamProbed):
            self.held = [*getattr(self, 'held', ()), (name, event)]
        else:
            super().post(name, event)

    def deliver_probes(self):
        """Deliver the probe results that were held back."""
        for name, event in self.held:
            Fleet.post(self, name, event)


def state_starts(fleet, started_ms):
    """List all upstreams as up since `started_ms`, at all entry VMs."""
    for name, vm in fleet.vm_list.items():
        if vm.role is VmRole.UPSTREAM:
            fleet.vm_list[name] = attrs.evolve(vm, started_ms=started_ms)
            fleet.restore(name)
    for vm in fleet.vms:
        fleet.sync_platform(vm)


class TestCrashes:
    """Only requests that crash upstreams are quarantined."""

    def test_poison_takes_down_two_upstreams(self):
        """A crashing request, repeated through all VMs, crashes only two.

        The VMs must share crashes through their records: each alone would
        quarantine the request only after two crashes of its own.
        """
        fleet = Fleet()
        for _ in range(8):
            for vm in (NORTH, SOUTH, NORTH_B):
                fleet.arrive(vm, 'read', fingerprint='poison')
                running = [
                    each
                    for each in fleet.attempts
                    if each.request.fingerprint == 'poison'
                ]
                for attempt in running:
                    fleet.crash(attempt.upstream)
                fleet.advance(500)
        assert len(fleet.down_upstreams) == 2

    def test_upstreams_that_restart_at_once_are_told_apart(self):
        """An upstream that is up again has crashed if its start is newer.

        Guards against a probe that its new start answers.
        """
        fleet = Fleet(upstreams_per_zone=1)
        state_starts(fleet, 1)
        broken = Interrupted(InterruptedReason.RESET, can_resend=False)
        crashes = 0
        for _ in range(8):
            fleet.arrive(NORTH, 'read', fingerprint='poison')
            for attempt in list(fleet.attempts):
                crashes += 1
                fleet.end(attempt, broken)
                state_starts(fleet, crashes + 1)
            fleet.advance(1000)
        assert crashes == 2

    def test_break_off_of_a_start_that_lives_on_is_no_crash(self):
        """Blame is dismissed if no newer start is listed in time."""
        fleet = Fleet()
        state_starts(fleet, 1)
        fleet.arrive(NORTH, 'read', fingerprint='plain')
        broken = Interrupted(InterruptedReason.RESET, can_resend=False)
        fleet.end(fleet.attempts[0], broken)
        fleet.advance(6000)
        assert not fleet.vms[NORTH].core.state.suspects.is_suspect('plain')

    def test_innocent_beside_poison(self):
        """A request in flight beside a crashing one is not quarantined."""
        fleet = Fleet()
        for _ in range(12):
            fleet.arrive(NORTH, 'read', fingerprint='innocent')
            fleet.arrive(NORTH, 'read', fingerprint='poison')
            fleet.advance(100)
            for attempt in list(fleet.attempts):
                if attempt.request.fingerprint == 'poison':
                    fleet.crash(attempt.upstream)
            fleet.advance(500)
            for attempt in list(fleet.attempts):
                fleet.answer(attempt)
            for upstream in list(fleet.down_upstreams):
                fleet.restore(upstream)
        suspects = fleet.vms[NORTH].core.state.suspects
        assert suspects.is_quarantined('poison')
        assert not suspects.is_quarantined('innocent')

    def test_failure_takes_no_blame_back(self):
        """An upstream may send a 5xx response without running the request."""
        fleet = Fleet()
        for _ in range(2):
            fleet.arrive(NORTH, 'read', fingerprint='poison')
        crashed, waiting = fleet.attempts
        assert crashed.upstream != waiting.upstream
        fleet.crash(crashed.upstream)
        fleet.advance(1000)
        fleet.end(waiting, Answered(504, 20))
        suspects = fleet.vms[NORTH].core.state.suspects
        assert suspects.is_suspect('poison')

    def test_suspect_without_a_place_is_refused_at_once(self):
        """A suspect is refused by a VM that is primary at no upstream."""
        fleet = Fleet(upstreams_per_zone=1)
        upstream = 'read-north-1-0'
        other = next(
            vm
            for vm in (NORTH, NORTH_B)
            if not fleet.vms[vm].core.slots.is_primary(
                fleet.vms[vm].core.state.upstreams.get(upstream),
            )
        )
        fleet.vms[other].core.state.suspects.record_crash({'odd'}, upstream)
        request_id = fleet.arrive(other, 'read', fingerprint='odd')
        assert fleet.answers[request_id].outcome is Outcome.NOT_RUN

    def test_waiting_request_is_not_sent_once_it_is_quarantined(self):
        """A queued request is refused when it becomes quarantined."""
        fleet = Fleet()
        suspects = fleet.vms[NORTH].core.state.suspects
        while not fleet.vms[NORTH].core.state.queues.get('read'):
            fleet.arrive(NORTH, 'read')
        waiting = fleet.arrive(NORTH, 'read', fingerprint='poison')
        crashes = [Crash('poison', name, 0) for name in ('one', 'other')]
        suspects.merge(crashes)
        for attempt in list(fleet.attempts):
            fleet.answer(attempt)
        fleet.advance(500)
        assert fleet.answers[waiting].reason is RefusalReason.QUARANTINED

    def test_suspect_runs_once_at_a_time(self):
        """Concurrent repeats of a suspect do not each crash an upstream."""
        fleet = Fleet()
        for vm in fleet.vms.values():
            vm.core.state.suspects.merge([Crash('poison', 'gone', 0)])
        for _ in range(4):
            fleet.arrive(NORTH, 'read', fingerprint='poison')
        running = [
            attempt
            for attempt in fleet.attempts
            if attempt.request.fingerprint == 'poison'
        ]
        assert len(running) == 1

    def test_second_break_off_keeps_the_blame_for_the_first(self):
        """A second break before the probe keeps the first blame on record.

        If the second break replaced the fingerprints blamed for the first,
        the probe that finds the upstream up would not clear them.
        """
        fleet = DelayedProbes(upstreams_per_zone=1)
        fleet.arrive(NORTH, 'read', fingerprint='first')
        broken = Interrupted(InterruptedReason.RESET, can_resend=False)
        fleet.end(fleet.attempts[0], broken)
        fleet.advance(500)
        fleet.arrive(NORTH, 'read', fingerprint='second')
        fleet.end(fleet.attempts[0], broken)
        fleet.deliver_probes()
        suspects = fleet.vms[NORTH].core.state.suspects
        assert not suspects.is_suspect('first')
        assert not suspects.is_suspect('second')

    def test_broken_connection_alone_is_no_crash(self):
        """A broken connection is no crash if the upstream is still up."""
        fleet = Fleet()
        fleet.arrive(NORTH, 'read', fingerprint='plain')
        broken = Interrupted(InterruptedReason.RESET, can_resend=False)
        fleet.end(fleet.attempts[0], broken)
        assert not fleet.vms[NORTH].core.state.suspects.is_suspect('plain')


class TestOnce:
    """A request with an idempotency key runs at most once fleet-wide."""

    def test_second_vm_sees_first_claim(self):
        """The same key at another VM is refused while the first is pending."""
        fleet = Fleet()
        fields = {'method': 'POST', 'fingerprint': 'same'}
        fleet.arrive(NORTH, 'book', idempotency_key='k', **fields)
        second = fleet.arrive(SOUTH, 'book', idempotency_key='k', **fields)
        assert fleet.answers[second].reason is RefusalReason.IN_PROGRESS
        assert len(fleet.attempts) == 1

    def test_platform_down_is_not_run(self):
        """A request that must run once is refused if it cannot be claimed."""
        fleet = Fleet()
        fleet.platform.is_down = True
        request_id = fleet.arrive(
            NORTH,
            'book',
            method='POST',
            idempotency_key='k',
        )
        assert fleet.answers[request_id].reason is (
            RefusalReason.CLAIM_UNAVAILABLE
        )
        assert not fleet.attempts

    def test_lost_answer_releases_the_key_later(self):
        """A claim that was stored but not acknowledged is released.

        Otherwise the key would stay blocked although no attempt was made.
        """
        fleet = Fleet()
        fields = {'method': 'POST', 'fingerprint': 'same'}
        fleet.platform.lost_answers = 1
        first = fleet.arrive(NORTH, 'book', idempotency_key='k', **fields)
        assert fleet.answers[first].outcome is Outcome.NOT_RUN
        fleet.advance(1000)
        fleet.arrive(SOUTH, 'book', idempotency_key='k', **fields)
        assert len(fleet.attempts) == 1

    @pytest.mark.parametrize('key', ['', 'k'])
    def test_key_rules(self, key):
        """A missing key, or one used for another request, is refused."""
        fleet = Fleet()
        fleet.arrive(
            NORTH,
            'book',
            method='POST',
            fingerprint='other',
            idempotency_key='k',
        )
        request_id = fleet.arrive(
            NORTH,
            'book',
            method='POST',
            idempotency_key=key,
        )
        expected = {
            '': RefusalReason.KEY_MISSING,
            'k': RefusalReason.KEY_REUSED,
        }
        assert fleet.answers[request_id].reason is expected[key]

    def test_holder_dies_after_dispatch(self):
        """A request whose claim holder died in flight is not run again.

        Its outcome is unknown, because the upstream may have run it.
        """
        fleet = Fleet()
        fields = {'method': 'POST', 'fingerprint': 'same'}
        fleet.arrive(NORTH, 'book', idempotency_key='k', **fields)
        fleet.kill_vm(NORTH)
        fleet.advance(10_000)
        again = fleet.arrive(SOUTH, 'book', idempotency_key='k', **fields)
        assert fleet.answers[again].outcome is Outcome.UNKNOWN
        assert not fleet.attempts


class TestDrain:
    """Drained and leaving upstreams get no new requests."""

    def test_signal_spreads_without_platform(self):
        """A leaving signal reaches all VMs while the platform is down."""
        fleet = Fleet()
        fleet.platform.is_down = True
        fleet.arrive(NORTH, 'read')
        attempt = fleet.attempts[0]
        core = fleet.vms[NORTH].core
        upstream = core.state.upstreams.get(attempt.upstream)
        core._attempt_results.mark_leaving(upstream)
        fleet.advance(1000)
        for vm in (NORTH, NORTH_B, SOUTH):
            seen = fleet.vms[vm].core.state.upstreams.get(attempt.upstream)
            assert seen.is_leaving(fleet.clock.now_ms())

    def test_plan_waits_for_running_requests(self):
        """A drain is done only when the last in-flight request has ended."""
        fleet = Fleet()
        fleet.arrive(NORTH, 'load', method='POST')
        target = fleet.attempts[0].upstream
        drain = Drain(DrainScope.VM, target)
        name = confirm_intent(fleet, SOUTH, DrainIntent(drain))
        fleet.advance(5000)
        assert fleet.configuration.plan(name).next_step is not None
        fleet.answer(fleet.attempts[0])
        fleet.advance(3000)
        plan = fleet.configuration.plan(name)
        assert plan.next_step is None
        assert plan.drain_time_ms is not None

    def test_queued_work_avoids_drained_upstream(self):
        """Requests queued before a drain are not sent to drained upstreams."""
        fleet = Fleet()
        for _ in range(20):
            fleet.arrive(NORTH, 'load', method='POST')
        drained = {f'load-north-1-{index}' for index in range(2)}
        fleet.configuration = attrs.evolve(
            fleet.configuration,
            revision=fleet.configuration.revision + 1,
            drains=tuple(Drain(DrainScope.VM, name) for name in drained),
        )
        fleet.advance(1000)
        before = len(fleet.dispatches)
        for attempt in list(fleet.attempts):
            fleet.answer(attempt)
        fleet.advance(1000)
        later = {each.name for _, _, each in fleet.dispatches[before:]}
        assert not later & drained

    def test_zone_drain_moves_callers_and_work(self):
        """A drained zone is in no lookup response, and done when empty."""
        fleet = Fleet()
        fleet.arrive(SOUTH, 'load', method='POST')
        drain = Drain(DrainScope.ZONE, 'south-1')
        name = confirm_intent(fleet, NORTH, DrainIntent(drain))
        fleet.advance(3000)
        entries = fleet.vms[NORTH].core.lookup('10.2.0.0/24').entries
        assert {entry.zone for entry in entries} == {'north-1'}
        assert fleet.configuration.plan(name).next_step is not None
        request_id = fleet.arrive(SOUTH, 'read')
        fleet.advance(1000)
        places = {
            each.upstream
            for each in fleet.attempts
            if each.request.request_id == request_id
        }
        assert places <= {'read-north-1-0', 'read-north-1-1'}
        assert places
        for attempt in list(fleet.attempts):
            fleet.answer(attempt)
        fleet.advance(3000)
        assert fleet.configuration.plan(name).next_step is None

    def test_bring_back_ends_a_drain(self):
        """An upstream that is brought back gets requests again."""
        fleet = Fleet()
        target = 'read-north-1-0'
        drain = Drain(DrainScope.VM, target)
        confirm_intent(fleet, NORTH, DrainIntent(drain))
        fleet.advance(3000)
        confirm_intent(fleet, NORTH, BringBackIntent(target))
        fleet.advance(3000)
        assert not fleet.configuration.drains
        for _ in range(4):
            fleet.arrive(NORTH, 'read')
        assert target in {each.upstream for each in fleet.attempts}

    def test_drain_is_not_done_while_a_vm_is_silent(self):
        """A drain is not done while an entry VM is partitioned.

        That VM does not know of the drain and may still use the upstream.
        """
        fleet = Fleet()
        others = ('north-1-b', 'south-1-a', 'south-1-b', 'platform')
        fleet.cuts = {frozenset((NORTH, each)) for each in others}
        fleet.advance(4000)
        drain = Drain(DrainScope.VM, 'read-north-1-0')
        name = confirm_intent(fleet, SOUTH, DrainIntent(drain))
        fleet.advance(5000)
        assert fleet.configuration.plan(name).next_step is not None
        fleet.cuts = set()
        fleet.advance(3000)
        assert fleet.configuration.plan(name).next_step is None

    def test_stopping_vm_leaves_lookups_at_once(self):
        """A stopping VM is in no lookup response, and idle when they expire."""
        fleet = Fleet()
        fleet.post(NORTH, StopRequested())
        fleet.exchange_all()
        for vm in fleet.vms.values():
            entries = vm.core.lookup('10.1.0.0/24').entries
            assert NORTH not in {entry.name for entry in entries}
        assert not fleet.vms[NORTH].core.is_idle
        fleet.advance(2000)
        assert fleet.vms[NORTH].core.is_idle


class TestRecord:
    """Records of an entry VM are current where peers rely on them."""

    def test_confirmed_age_is_never_too_young(self):
        """A cached record is sent with the current confirmation age."""
        fleet = Fleet()
        core = fleet.vms[NORTH].core
        first = core.own_record()
        fleet.clock.advance(300)
        again = core.own_record()
        assert again.sequence == first.sequence
        assert again.confirmed_age_ms == first.confirmed_age_ms + 300

    def test_news_make_a_new_record(self):
        """A stop rebuilds the record before its cache expires."""
        fleet = Fleet()
        core = fleet.vms[NORTH].core
        first = core.own_record()
        fleet.post(NORTH, StopRequested())
        again = core.own_record()
        assert again.is_stopping
        assert again.sequence > first.sequence


class TestShift:
    """A shift moves traffic within its cap."""

    def test_shares_sum_to_the_cap(self):
        """Shares are whole numbers and sum to the cap even if it is 1."""
        fleet = Fleet()
        intent = ShiftIntent('read', 'north', 'south', 1, 100)
        name = confirm_intent(fleet, NORTH, intent)
        fleet.advance(2000)
        shift = fleet.configuration.shifts[0]
        assert shift.name == name
        assert sum(each.requests_per_second for each in shift.shares) == 1

    def test_requests_move(self):
        """Requests go to the target region once the shift is active."""
        fleet = Fleet()
        intent = ShiftIntent('read', 'north', 'south', 10, 100)
        confirm_intent(fleet, NORTH, intent)
        fleet.advance(15_000)
        for _ in range(20):
            fleet.arrive(NORTH, 'read')
            fleet.advance(100)
            for attempt in list(fleet.attempts):
                fleet.answer(attempt)
        moved = [
            upstream
            for _, _, upstream in fleet.dispatches
            if region_of(fleet, upstream) == 'south'
        ]
        assert moved
        assert not fleet.breaches()

    def test_share_of_a_dead_vm_rests_first(self):
        """A dead VM's share is reassigned only after it must have expired."""
        fleet = Fleet()
        intent = ShiftIntent('read', 'north', 'south', 10, 100)
        confirm_intent(fleet, NORTH, intent)
        fleet.advance(2000)
        fleet.kill_vm(NORTH)
        fleet.advance(8000)
        shift: Shift = fleet.configuration.shifts[0]
        assert shift.share_of(NORTH_B) == 5
        fleet.advance(12_000)
        shift = fleet.configuration.shifts[0]
        assert shift.share_of(NORTH_B) == 10
