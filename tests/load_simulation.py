"""Replays load patterns through the entry VMs' decisions, in virtual time.

Service times and slots only: upstreams serve in order of arrival, cache some
objects, and report their load with each response.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque

import attrs

from catkindrift.clock import ManualClock
from catkindrift.overload import ServiceQueue, WaitingRequest, rank_of
from catkindrift.steering import (
    CandidateOrder,
    ColdRateLimiter,
    CostModel,
    LoadReport,
    Placed,
    Placement,
    PlacementRequest,
    UpstreamLimits,
    UpstreamRegistry,
    ZoneDistances,
)
from tests.loads import arrivals
from tests.platform_deployment import ZONES
from tests.steering_samples import BOUNDS, sample_route, sample_upstream

SERVICE = 'tariffs'
UPSTREAMS = 24
SLOTS = 4
CACHED = 15
MISS_MS = 200
# A request for a cached object takes 0.3 of the work of any other.
HIT_MS = 60
# Measured over the patterns: about two thirds of the requests hit.
USUAL_MS = 105
CAPACITY_PER_MS = UPSTREAMS * SLOTS / USUAL_MS
WAY_MS = 2
# The queue looks again after this time, as the gateway's does.
POLL_MS = 5
# A caller whose VM died waits for this time before it asks another one.
LOST_MS = 300
POLICIES = ('queue', 'today', 'first_come')


@attrs.define(eq=False)
class Upstream:
    """Slots, a queue in order of arrival, and a cache."""

    world: object
    rng: random.Random
    is_gone: bool = False
    running: int = 0
    waiting: deque = attrs.field(factory=deque)
    cache: OrderedDict = attrs.field(factory=OrderedDict)

    @property
    def report(self):
        return LoadReport(self.running, len(self.waiting), SLOTS)

    def arrive(self, key, on_end):
        self.waiting.append((key, on_end))
        self.start()

    def start(self):
        while self.waiting and self.running < SLOTS:
            key, on_end = self.waiting.popleft()
            self.running += 1
            usual_ms = HIT_MS if key in self.cache else MISS_MS
            self.cache[key] = True
            self.cache.move_to_end(key)
            if len(self.cache) > CACHED:
                self.cache.popitem(last=False)
            took_ms = round(usual_ms * self.rng.uniform(0.6, 1.4))
            self.world.after(took_ms, self.end, on_end)

    def end(self, on_end):
        self.running -= 1
        self.start()
        self.world.after(WAY_MS, on_end, self.report)


@attrs.define(eq=False)
class Call:
    """A caller's request until it is answered or given up."""

    arrival: object
    deadline_ms: int
    vm: object = None
    asked_ms: int = 0
    waited_ms: int = 0
    refusals: int = 0
    outcome: str = 'refused'
    waiting: object = None


class Vm:
    """Decisions of one entry VM."""

    def __init__(self, world, policy, number):
        self.world = world
        self.policy = policy
        clock = world.clock
        registry = UpstreamRegistry(clock)
        zones = tuple(ZONES)
        for index in range(UPSTREAMS):
            registry.put(
                sample_upstream(f'i-{index}', zones[index % 3], slots=SLOTS), 0
            )
        registry.mark_loaded()
        self.registry = registry
        distances = ZoneDistances(zones[number % 3], ZONES)
        limits = UpstreamLimits(clock, 'one')
        limits.update_members(('one',))
        self.placement = Placement(
            clock,
            CandidateOrder(registry, distances),
            CostModel(distances),
            ColdRateLimiter(clock, BOUNDS, 'one'),
            limits,
        )
        self.queue = ServiceQueue(random.Random(number))
        self.calls = {}
        self.held = deque()
        self.tokens = itertools.count()
        self.is_polling = False
        self.is_dead = False

    @property
    def average_ms(self):
        return self.placement.latency(SERVICE).average_ms

    def ask(self, call):
        call.asked_ms = self.world.now_ms
        call.vm = self
        if self.policy == 'queue':
            self.offer(call)
        elif self.policy == 'today':
            self.apply(call, self.choose(call, None))
        else:
            self.held.append(call)
            self.release_first_come()

    def offer(self, call):
        kind = call.arrival.kind
        now_ms = self.world.now_ms
        request = WaitingRequest(
            rank_of(None, kind.priority),
            call.arrival.workspace,
            str(call.arrival.caller),
            now_ms,
            now_ms + kind.objective_ms,
            call.deadline_ms,
        )
        call.waiting = request
        self.calls[request] = call
        self.settle(
            self.queue.offer(request, now_ms, self.average_ms, self.place)
        )

    def place(self, request, fill):
        choice = self.choose(self.calls[request], fill)
        if isinstance(choice, Placed):
            self.send(self.calls[request], choice.state)
        return choice

    def settle(self, decisions):
        for decision in decisions:
            call = self.calls.pop(decision.request)
            if not isinstance(decision.choice, Placed):
                self.refuse(call, decision.choice)
        if len(self.queue) and not self.is_polling:
            self.is_polling = True
            self.world.after(POLL_MS, self.poll)

    def poll(self):
        self.is_polling = False
        self.look_again()

    def look_again(self):
        if self.is_dead:
            return
        if self.policy == 'first_come':
            self.release_first_come()
        elif len(self.queue):
            self.settle(
                self.queue.release(
                    self.world.now_ms, self.average_ms, self.place
                )
            )

    def release_first_come(self):
        """Send in order of arrival to free slots; hold until the deadline."""
        kept = deque()
        for call in self.held:
            choice = self.choose(call, 1.0)
            is_full = (
                not isinstance(choice, Placed) and choice.queue_wait_ms > 0
            )
            if is_full and self.world.now_ms < call.deadline_ms:
                kept.append(call)
            else:
                self.apply(call, choice)
        self.held = kept
        if kept and not self.is_polling:
            self.is_polling = True
            self.world.after(POLL_MS, self.poll)

    def choose(self, call, fill):
        kind = call.arrival.kind
        return self.placement.choose(
            PlacementRequest(
                sample_route(priority=kind.priority),
                SERVICE,
                call.arrival.key,
                call.deadline_ms - self.world.now_ms,
                kind.priority == 0,
                max_fill=fill,
            )
        )

    def apply(self, call, choice):
        if isinstance(choice, Placed):
            self.send(call, choice.state)
        else:
            self.refuse(call, choice)

    def refuse(self, call, refusal):
        call.waited_ms += self.world.now_ms - call.asked_ms
        call.refusals += 1
        left_ms = call.deadline_ms - self.world.now_ms
        wait_ms = refusal.retry_after_ms
        if self.policy != 'queue':
            wait_ms *= self.world.rng.uniform(0.5, 1.5)
        if wait_ms < left_ms:
            wait_ms = min(wait_ms, max(left_ms / 3, 50))
            self.world.after(round(wait_ms), self.world.ask, call)

    def send(self, call, state):
        now_ms = self.world.now_ms
        call.waited_ms += now_ms - call.asked_ms
        token = next(self.tokens)
        was_queued = state.load(now_ms) >= SLOTS
        state.record_request(token, call.arrival.key, now_ms)
        upstream = self.world.upstreams[state.upstream.id]

        def end(report):
            self.end(call, state, (token, now_ms, was_queued), report)

        self.world.after(WAY_MS, upstream.arrive, call.arrival.key, end)

    def end(self, call, state, sent, report):
        token, sent_ms, was_queued = sent
        now_ms = self.world.now_ms
        if self.is_dead:
            return
        state.record_end(token)
        state.record_load(report, now_ms)
        took_ms = now_ms - sent_ms
        state.record_response(now_ms, took_ms, self.average_ms)
        queued = max(0, state.load(now_ms) - SLOTS)
        self.queue.record_response(now_ms, queued * self.average_ms / SLOTS)
        if not was_queued:
            self.placement.latency(SERVICE).add_sample(took_ms)
        self.world.answer(call)
        self.look_again()


class World:
    """One replay of one pattern by a number of VMs."""

    def __init__(self, pattern, policy, vm_count):
        self.pattern = pattern
        self.policy = policy
        self.clock = ManualClock(100_000)
        self.start_ms = self.now_ms
        self.rng = random.Random(pattern.seed)
        self.events = []
        self.numbers = itertools.count()
        self.upstreams = {
            f'i-{index}': Upstream(self, random.Random(index))
            for index in range(UPSTREAMS)
        }
        self.vms = [Vm(self, policy, each) for each in range(vm_count)]
        self.calls = []

    @property
    def now_ms(self):
        return self.clock.now_ms()

    def after(self, wait_ms, action, *args):
        at_ms = self.now_ms + wait_ms
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, args))

    def ask(self, call):
        if call.outcome == 'refused':
            self.rng.choice(self.vms).ask(call)

    def answer(self, call):
        took_ms = self.now_ms - call.arrival.at_ms
        kind = call.arrival.kind
        if took_ms <= kind.objective_ms:
            call.outcome = 'within'
        elif took_ms <= kind.timeout_ms:
            call.outcome = 'late'

    def run(self):
        """Return the calls with their outcomes."""
        for arrival in arrivals(self.pattern, CAPACITY_PER_MS):
            at_ms = self.start_ms + arrival.at_ms
            moved = attrs.evolve(arrival, at_ms=at_ms)
            call = Call(moved, at_ms + arrival.kind.timeout_ms)
            self.calls.append(call)
            self.after(arrival.at_ms, self.ask, call)
        for restart_ms in self.pattern.restarts_ms:
            self.after(restart_ms, self.restart)
        if self.pattern.gone:
            self.after(self.pattern.gone[0], self.lose_zone)
            self.after(self.pattern.gone[1], self.regain_zone)
        while self.events:
            due_ms, _, action, args = heapq.heappop(self.events)
            self.clock.advance(due_ms - self.now_ms)
            action(*args)
        return self.calls

    def restart(self):
        """Replace all VMs by ones that know nothing; their callers return."""
        for vm in self.vms:
            vm.is_dead = True
        lost = [
            each
            for each in self.calls
            if each.outcome == 'refused'
            and each.vm is not None
            and each.deadline_ms > self.now_ms + LOST_MS
        ]
        self.vms = [
            Vm(self, self.policy, number) for number in range(len(self.vms))
        ]
        for call in lost:
            self.after(LOST_MS, self.ask, call)

    def lose_zone(self):
        for vm in self.vms:
            vm.registry.update_evacuated_zones([next(iter(ZONES))], 0)

    def regain_zone(self):
        for vm in self.vms:
            vm.registry.update_evacuated_zones([], 0)


def percentile(numbers, share):
    """Return a percentile of numbers, 0 of none."""
    ordered = sorted(numbers)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0


def summary(calls):
    """Return shares by outcome, waits and credit of some calls."""
    count = max(1, len(calls))
    shares = {
        outcome: sum(each.outcome == outcome for each in calls) / count
        for outcome in ('within', 'late', 'refused')
    }
    waits = [each.waited_ms for each in calls]
    return {
        'requests': len(calls),
        **shares,
        'wait_p50': percentile(waits, 0.5),
        'wait_p99': percentile(waits, 0.99),
        'credit': shares['within'] + shares['late'] / 5,
    }


def replay(pattern, policy, vm_count):
    """Return the summaries of a replay by kind of request."""
    calls = World(pattern, policy, vm_count).run()
    return {
        kind.name: summary(
            [each for each in calls if each.arrival.kind == kind]
        )
        for kind in pattern.kinds
    }
