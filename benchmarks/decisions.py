"""Routing decisions in virtual time: overload, region loss, drain, retries."""

import contextlib
import random
import time
from unittest import mock

import attrs

from benchmarks.flow import Flow, percentile
from benchmarks.report import show
from catkindrift.core import Bounds
from catkindrift.core._borrower import Borrower
from catkindrift.core._slots import Slots
from catkindrift.domain import (
    Drain,
    DrainIntent,
    DrainScope,
    Measure,
    Vm,
    VmRole,
)
from catkindrift.plans import Planner, add_plan, confirm_plan
from catkindrift.routing import (
    Candidate,
    Chooser,
    Distance,
    EntryDirectory,
    UpstreamState,
)

NORTH = ('north-1-a', 'north-1-b')
SOUTH = ('south-1-a', 'south-1-b')
MS_PER_SECOND = 1000
WORK_MS = {'read': 50, 'book': 50, 'load': 200}
UPSTREAMS_PER_ZONE = 6
SLOTS_PER_UPSTREAM = 4


def make_flow(seed=1, upstreams=UPSTREAMS_PER_ZONE):
    """Return a warmed-up fleet whose upstreams have service times."""
    flow = Flow(
        seed=seed,
        upstreams_per_zone=upstreams,
        slots=SLOTS_PER_UPSTREAM,
        work_ms=dict(WORK_MS),
        bounds=Bounds(max_requests=200),
    )
    flow.warm_up()
    return flow


def overload():
    """Measure goodput and latency at multiples of the capacity."""
    rows = []
    capacity = (
        2
        * UPSTREAMS_PER_ZONE
        * SLOTS_PER_UPSTREAM
        * MS_PER_SECOND
        / WORK_MS['read']
    )
    unloaded_p99 = 0
    for factor in (0.1, 0.5, 1, 2, 5):
        flow = make_flow()
        begin_ms = flow.clock.now_ms()
        end_ms = begin_ms + 10 * MS_PER_SECOND
        for vm in (*NORTH, *SOUTH):
            flow.generate_load(vm, 'read', capacity * factor / 4, end_ms)
            flow.generate_load(vm, 'load', 10, end_ms, method='POST')
        flow.run_until(end_ms)
        reads = [each for _, name, each in flow.finished if name == 'read']
        loads = [each for _, name, each in flow.finished if name == 'load']
        sent = sum(each.service == 'load' for each in flow.requests.values())
        p99 = percentile(reads, 0.99)
        unloaded_p99 = unloaded_p99 or p99
        rows.append(
            {
                'offered x capacity': factor,
                'goodput part of capacity': len(reads) / 10 / capacity,
                'p50 ms': percentile(reads, 0.5),
                'p99 ms': p99,
                'p99 / p99 at 0.1': p99 / unloaded_p99,
                'other service served': len(loads) / sent,
                'shed by upstreams': flow.rejected_count,
                'breaches': len(flow.breaches()),
            },
        )
    show('overload', rows)


def sharing():
    """Compare ways to share a zone's slots under uneven load."""
    rows = []
    capacity = (
        UPSTREAMS_PER_ZONE
        * SLOTS_PER_UPSTREAM
        * MS_PER_SECOND
        / WORK_MS['read']
    )
    for name in (
        'fixed shares',
        'borrowed shares',
        'optimistic',
        'share, then optimistic',
        'share, optimistic, borrowed',
    ):
        flow = make_flow()
        end_ms = flow.clock.now_ms() + 10 * MS_PER_SECOND
        flow.cuts = {
            frozenset((each, other)) for each in NORTH for other in SOUTH
        }
        flow.generate_load(NORTH[0], 'read', capacity * 0.7, end_ms)
        flow.generate_load(NORTH[1], 'read', capacity * 0.1, end_ms)
        with _sharing_mode(name):
            flow.run_until(end_ms)
        reads = [
            each for _, service, each in flow.finished if service == 'read'
        ]
        rows.append(
            {
                'mode': name,
                'served part': len(reads) / len(flow.requests),
                'p50 ms': percentile(reads, 0.5),
                'p99 ms': percentile(reads, 0.99),
                'shed by upstreams': flow.rejected_count,
                'attempts per request': flow.attempt_count / len(flow.requests),
            },
        )
    show('sharing', rows)


def _sharing_mode(name):
    """Return a patch that disables the parts of slot sharing not in a mode."""

    def no_asking(_self, _service, _waiting):
        return None

    def whole_zone(slots, upstream):
        is_own = upstream.vm.zone == slots._state.identity.zone
        return upstream.vm.slots if is_own else 0

    def within_share(_self, _upstream, _slots):
        return 0

    stack = contextlib.ExitStack()
    if name in {'fixed shares', 'optimistic', 'share, then optimistic'}:
        stack.enter_context(
            mock.patch.object(Borrower, 'request_slots', no_asking),
        )
    if name in {'fixed shares', 'borrowed shares'}:
        stack.enter_context(
            mock.patch.object(Slots, '_idle_beyond_share', within_share),
        )
    if name == 'optimistic':
        stack.enter_context(mock.patch.object(Slots, 'owned', whole_zone))
    return stack


def choosers():
    """Compare the chooser with round robin and least connections."""
    rows = []
    capacity = (
        2
        * UPSTREAMS_PER_ZONE
        * SLOTS_PER_UPSTREAM
        * MS_PER_SECOND
        / WORK_MS['read']
    )
    counter = iter(range(10**9))

    def round_robin(self, candidates, now_ms, excluded=(), **_options):
        usable = _usable(candidates, now_ms, excluded)
        return usable[next(counter) % len(usable)] if usable else None

    def least_connections(self, candidates, now_ms, excluded=(), **_options):
        usable = _usable(candidates, now_ms, excluded)
        return min(
            usable,
            key=lambda each: each.upstream.in_flight,
            default=None,
        )

    baseline = 0
    for name, choose in (
        ('round robin', round_robin),
        ('least connections', least_connections),
        ('ours', Chooser.choose),
    ):
        flow = make_flow()
        flow.slowdown_factors = {
            each.name: 3
            for each in flow.vm_list.values()
            if each.service and each.name.endswith('-0')
        }
        end_ms = flow.clock.now_ms() + 10 * MS_PER_SECOND
        for vm in (*NORTH, *SOUTH):
            flow.generate_load(vm, 'read', capacity * 0.4 / 4, end_ms)
        with mock.patch.object(Chooser, 'choose', choose):
            flow.run_until(end_ms)
        reads = [each for _, _, each in flow.finished]
        p99 = percentile(reads, 0.99)
        baseline = baseline or p99
        rows.append(
            {
                'choice': name,
                'p50 ms': percentile(reads, 0.5),
                'p99 ms': p99,
                'p99 / round robin': p99 / baseline,
                'served part': len(reads) / len(flow.requests),
            },
        )
    show('choosers', rows)


def _usable(candidates, now_ms, excluded):
    usable = [
        each
        for each in candidates
        if each.free_slots > 0
        and each.upstream.vm.name not in excluded
        and not each.upstream.is_leaving(now_ms)
        and not each.upstream.is_ejected(now_ms)
    ]
    nearest = min((each.distance for each in usable), default=0)
    return [each for each in usable if each.distance == nearest]


def region_loss():
    """Lose a region at 80% load; its callers move to the other region."""
    flow = make_flow()
    capacity = (
        UPSTREAMS_PER_ZONE
        * SLOTS_PER_UPSTREAM
        * MS_PER_SECOND
        / WORK_MS['read']
    )
    begin_ms = flow.clock.now_ms()
    lost_ms = begin_ms + 5 * MS_PER_SECOND
    end_ms = begin_ms + 25 * MS_PER_SECOND

    def north_caller():
        living = [vm for vm in NORTH if vm in flow.vms]
        return flow.rng.choice(living or SOUTH)

    for vm in SOUTH:
        flow.generate_load(vm, 'read', capacity * 0.8 / 2, end_ms)
    flow.generate_load(north_caller, 'read', capacity * 0.8, end_ms)
    flow.schedule(lost_ms, lambda: _kill_north(flow))
    flow.run_until(end_ms)
    refused = [
        flow.arrived_ms[request_id]
        for request_id, answer in flow.answers.items()
        if answer != 'answered'
    ]
    after = [
        each
        for request_id, _, each in flow.finished
        if flow.arrived_ms[request_id] >= lost_ms
    ]
    show(
        'region_loss',
        [
            {
                'goodput after, part of what is left': len(after)
                / 20
                / capacity,
                'p99 ms after': percentile(after, 0.99),
                'refused': len(refused),
                'shed by upstreams': flow.rejected_count,
                'breaches': len(flow.breaches()),
                'offered part of what is left': 1.6,
            },
        ],
    )


def _kill_north(flow):
    for vm in NORTH:
        flow.kill_vm(vm)
    for name, vm in list(flow.vm_list.items()):
        if vm.zone == 'north-1':
            flow.down_upstreams.add(name)


def drain():
    """Measure a drain with uploads in flight, for each service measure."""
    rows = []
    for measure in (Measure.LATENCY, Measure.DRAIN_TIME):
        times = []
        overruns = []
        for seed in range(4):
            overrun_ms, drain_ms = _drain_once(seed, measure)
            times.append(drain_ms)
            overruns.append(overrun_ms)
        rows.append(
            {
                'measure': measure.value,
                'drain p50 s': percentile(times, 0.5) / MS_PER_SECOND,
                'drain max s': max(times) / MS_PER_SECOND,
                'over the longest upload, max s': max(overruns) / MS_PER_SECOND,
            },
        )
    show('drain', rows)


def _drain_once(seed, measure):
    flow = make_flow(seed=seed)
    flow.rng = random.Random(seed)
    flow.configuration = attrs.evolve(
        flow.configuration,
        revision=flow.configuration.revision + 1,
        services=tuple(
            attrs.evolve(each, measure=measure)
            for each in flow.configuration.services
        ),
    )
    flow.work_ms['load'] = 20 * MS_PER_SECOND
    begin_ms = flow.clock.now_ms()
    for vm in NORTH:
        flow.generate_load(
            vm, 'load', 0.3, begin_ms + 120 * MS_PER_SECOND, method='POST'
        )
    confirmation = {}
    target = 'load-north-1-0'

    def propose():
        drain_vm = Drain(DrainScope.VM, target)
        planner = Planner(flow.configuration, flow.view(NORTH[0]))
        plan = planner.plan('bench', DrainIntent(drain_vm))
        flow.configuration = add_plan(flow.configuration, plan)

    def confirm():
        confirmation['at'] = flow.clock.now_ms()
        flow.configuration = confirm_plan(
            flow.configuration,
            'bench',
            flow.clock.wall_ms(),
        )

    flow.schedule(begin_ms + 60 * MS_PER_SECOND, propose)
    flow.schedule(begin_ms + 75 * MS_PER_SECOND, confirm)
    flow.run_until(begin_ms + 180 * MS_PER_SECOND)
    plan = flow.configuration.plan('bench')
    last_ms = max(
        (
            flow.arrived_ms[request_id] + took_ms
            for request_id, _, took_ms in flow.finished
            if _upstream_of(flow, request_id) == target
        ),
        default=confirmation['at'],
    )
    overrun_ms = plan.ended_wall_ms - max(last_ms, confirmation['at'])
    return overrun_ms, plan.drain_time_ms


def _upstream_of(flow, request_id):
    return flow.ran_at.get(request_id)


def retries():
    """Measure attempts per request while a tenth of the upstreams fail."""
    flow = make_flow(upstreams=10)
    flow.failing_upstreams = {'read-north-1-0', 'read-south-1-0'}
    end_ms = flow.clock.now_ms() + 20 * MS_PER_SECOND
    for vm in (*NORTH, *SOUTH):
        flow.generate_load(vm, 'read', 100, end_ms)
    flow.run_until(end_ms)
    unserved = sum(each != 'answered' for each in flow.answers.values())
    show(
        'retries',
        [
            {
                'requests': len(flow.requests),
                'attempts per request': flow.attempt_count / len(flow.requests),
                'not served': unserved,
                'breaches': len(flow.breaches()),
            },
        ],
    )


def choice_cost():
    """Measure the time of one upstream choice and of one lookup."""
    rows = []
    states = [
        UpstreamState(
            Vm(f'u{number}', 'z', VmRole.UPSTREAM, '127.0.0.1', 1, slots=4),
        )
        for number in range(20)
    ]
    chooser = Chooser(Measure.LATENCY)
    candidates = [Candidate(each, 2, Distance.SAME_ZONE) for each in states]
    rows.append(
        _measure_call(
            'choice of 20 upstreams',
            50,
            lambda: chooser.choose(candidates, 0),
        ),
    )
    flow = make_flow(upstreams=20)
    core = flow.vms[NORTH[0]].core
    rows.append(
        _measure_call(
            'candidates and choice in the core',
            50,
            lambda: chooser.choose(core.slots.candidates('read'), 0),
        ),
    )
    vms = [
        Vm(f'e{n}', f'zone-{n % 117}', VmRole.ENTRY, '127.0.0.1', 1)
        for n in range(3100)
    ]
    directory = EntryDirectory.build(vms, flow.configuration)
    blocks = [f'10.{n % 256}.{n // 256}.0/24' for n in range(2000)]
    counter = iter(range(10**9))
    rows.append(
        _measure_call(
            'look-up among 3,100 sites',
            100,
            lambda: directory.entries(
                f'zone-{next(counter) % 117}',
                blocks[next(counter) % 2000],
            ),
        ),
    )
    show('choice_cost', rows)


def _measure_call(name, target_us, call):
    rounds = 5000
    durations_us = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(rounds):
            call()
        durations_us.append((time.perf_counter() - started) / rounds * 1e6)
    return {
        'decision': name,
        'median us': percentile(durations_us, 0.5),
        'target us': target_us,
    }


def main():
    """Run all benchmarks of decisions."""
    choice_cost()
    choosers()
    sharing()
    overload()
    region_loss()
    drain()
    retries()


if __name__ == '__main__':
    main()
