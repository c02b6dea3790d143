"""Simulation of a cold upstream and many entry VMs in virtual time."""

import functools
import heapq
import itertools
import random

import attrs

from catkindrift.clock import ManualClock
from catkindrift.steering import (
    ColdRateLimiter,
    Heartbeat,
    MemberFacts,
    Members,
    ServiceRules,
    UnseenRestarts,
    UpstreamRegistry,
)
from tests.steering_samples import BOUNDS, sample_upstream

UPSTREAM = 'i-1'
RULES = ServiceRules('tariffs', '/health', 390, 3000, 7.7)
ALLOWED = RULES.cold_per_second * BOUNDS.cold_overshoot + BOUNDS.cold_slack
STEP_MS = 10
TICK_MS = 1000
HEARTBEAT_MS = 500
HEARTBEAT_LOSS = 0.1
FAULT_EVERY_MS = 1500
UPSTREAM_FAULT_EVERY_MS = 4000
# Delays in milliseconds, from and to.
RESTART_MS = (200, 1500)
CUT_MS = (1000, 9000)
STORE_CALL_MS = (5, 300)
RECENT_MS = (50, 2000)
LATE_NEWS_MS = (2000, 12_000)
NETWORK_MS = (1, 250)
IDLE_TIMEOUT_MS = 7500


@attrs.define(eq=False)
class ColdVm:
    """One entry VM; a restart loses all that it knows."""

    name: str
    clock: ManualClock
    starts: int = 0
    back_at_ms: int = 0
    cut_until_ms: int = 0
    sent_at_ms: int = 0
    connected_ms: int = 0
    members: Members = attrs.field(init=False)
    limiter: ColdRateLimiter = attrs.field(init=False)
    registry: UpstreamRegistry = attrs.field(init=False)
    restarts: UnseenRestarts = attrs.field(init=False)

    def start(self, back_at_ms):
        self.starts += 1
        self.back_at_ms = back_at_ms
        self.connected_ms = 0
        self.members = Members(self.clock, self.name)
        self.limiter = ColdRateLimiter(self.clock, BOUNDS, self.name)
        self.registry = UpstreamRegistry(self.clock)
        self.restarts = UnseenRestarts(
            self.clock, self.registry, lambda _service: RULES.cold_start_ms
        )

    def runs(self):
        return self.clock.now_ms() >= self.back_at_ms

    def is_reached(self):
        return self.runs() and self.clock.now_ms() >= self.cut_until_ms

    def has_connection(self):
        idle_ms = self.clock.now_ms() - self.sent_at_ms
        return bool(self.connected_ms) and idle_ms < IDLE_TIMEOUT_MS

    def facts(self):
        return MemberFacts(
            self.name,
            self.starts,
            'ovd-a',
            'asturias',
            self.name,
            self.name,
            is_ready=True,
            count=self.clock.now_ms(),
        )


@attrs.define(eq=False)
class ColdSimulation:
    """Seeded traffic from many VMs to one upstream that is often cold.

    All VMs start together, and the store knows none of them before.

    Args:
        seed: Seed of the random numbers.
        vm_count: Number of entry VMs.
        hears_others: Whether heartbeats pass between VMs.
        reads_records: Whether VMs can read each other's records.
        has_late_news: Whether news of the store may take seconds.
        restarts_upstream: Whether the upstream starts again under its id; if
            not, it is cold from the start to the end.
        demand: Requests per second over all VMs.
        seconds: Length of the run.
    """

    seed: int
    vm_count: int
    hears_others: bool = True
    reads_records: bool = True
    has_late_news: bool = False
    restarts_upstream: bool = False
    demand: int = 300
    seconds: int = 30
    arrivals: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(init=False)
    clock: ManualClock = attrs.field(factory=ManualClock)
    vms: list = attrs.field(init=False)
    records: dict = attrs.field(factory=dict)
    entry: object = attrs.field(init=False)
    upstream_started_ms: int = 0
    _due: list = attrs.field(factory=list)
    _tokens: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.clock.advance(100_000)
        self.upstream_started_ms = self.clock.now_ms()
        cold_ms = 0 if self.restarts_upstream else self.seconds * 1000
        self.entry = sample_upstream(
            UPSTREAM, cold_remaining_ms=cold_ms, born_ms=1, revision=1
        )
        self.vms = [
            ColdVm(f'front-{number}', self.clock)
            for number in range(self.vm_count)
        ]
        for vm in self.vms:
            self._start(vm, self.rng.randint(0, 300))

    def run(self):
        """Run to the end and return the simulation."""
        began_ms = self.clock.now_ms()
        while self.clock.now_ms() < began_ms + self.seconds * 1000:
            self.clock.advance(STEP_MS)
            elapsed_ms = self.clock.now_ms() - began_ms
            self._inject_faults(elapsed_ms)
            if self.hears_others and elapsed_ms % HEARTBEAT_MS == 0:
                self._send_heartbeats()
            if elapsed_ms % TICK_MS == 0:
                for vm in filter(ColdVm.runs, self.vms):
                    vm.members.forget_silent()
                    vm.limiter.update_members(vm.members.sharers)
                    vm.limiter.keep_only(vm.registry.ids)
            for _ in range(self.demand * STEP_MS // 1000):
                self._send(self.rng.choice(self.vms))
            while self._due and self._due[0][0] <= self.clock.now_ms():
                _, _, event = heapq.heappop(self._due)
                event()
        return self

    def most_in_a_second(self):
        """Return the most requests that a cold upstream got in a second."""
        most = 0
        first = 0
        arrivals = sorted(self.arrivals)
        for number, at_ms in enumerate(arrivals):
            while arrivals[first] <= at_ms - 1000:
                first += 1
            most = max(most, number - first + 1)
        return most

    def _later(self, delays_ms, event):
        at_ms = self.clock.now_ms() + self.rng.randint(*delays_ms)
        heapq.heappush(self._due, (at_ms, next(self._tokens), event))

    def _for_start(self, vm, event):
        """Return an event that happens only to the VM's present process."""
        start = vm.starts
        return lambda: event() if vm.starts == start else None

    def _start(self, vm, delay_ms):
        vm.start(self.clock.now_ms() + delay_ms)
        wait_ms = (delay_ms + STORE_CALL_MS[0], delay_ms + STORE_CALL_MS[1])
        self._later(wait_ms, self._for_start(vm, lambda: self._load(vm)))

    def _load(self, vm):
        vm.registry.put(self._entry_now(), 0)
        vm.registry.mark_loaded()
        if not self.reads_records:
            return
        now_ms = self.clock.now_ms()
        ages_ms = {name: now_ms - at for name, at in self.records.items()}
        vm.members.record_list(ages_ms)
        self._later(
            STORE_CALL_MS, self._for_start(vm, lambda: self._register(vm))
        )

    def _register(self, vm):
        self.records[vm.name] = self.clock.now_ms()
        vm.members.record_own_registration()
        # Two VMs of those that hear each other watch the records.
        for each in self.vms[:2] if self.hears_others else self.vms:
            members = each.members
            news = functools.partial(members.record_registration, vm.name, 0)
            self._later(RECENT_MS, self._for_start(each, news))

    def _entry_now(self):
        elapsed_ms = self.clock.now_ms() - self.upstream_started_ms
        left_ms = self.entry.cold_remaining_ms - elapsed_ms
        return attrs.evolve(self.entry, cold_remaining_ms=max(0, left_ms))

    def _inject_faults(self, elapsed_ms):
        if elapsed_ms % FAULT_EVERY_MS == 0:
            vm = self.rng.choice(self.vms)
            if self.rng.choice((True, False)):
                self._start(vm, self.rng.randint(*RESTART_MS))
            else:
                vm.cut_until_ms = self.clock.now_ms() + self.rng.randint(
                    *CUT_MS
                )
        if elapsed_ms % UPSTREAM_FAULT_EVERY_MS == 0:
            if self.restarts_upstream:
                self._restart_upstream()
            else:
                self._expire_entry()

    def _expire_entry(self):
        """Remove the entry; it returns before a second has passed."""
        for vm in filter(ColdVm.is_reached, self.vms):
            vm.registry.remove(UPSTREAM)
            vm.limiter.keep_only(vm.registry.ids)
            self._later((100, 800), self._news_for(vm))

    def _news_for(self, vm):
        """Return an event that brings the entry to a VM."""

        def put():
            vm.registry.put(self._entry_now(), RULES.cold_start_ms)

        return self._for_start(vm, put)

    def _restart_upstream(self):
        self.upstream_started_ms = self.clock.now_ms()
        self.entry = attrs.evolve(
            self.entry,
            cold_remaining_ms=RULES.cold_start_ms,
            born_ms=self.entry.born_ms + 1,
            revision=self.entry.revision + 1,
        )
        for vm in self.vms:
            is_late = self.has_late_news and self.rng.choice((True, False))
            delays_ms = LATE_NEWS_MS if is_late else RECENT_MS
            self._later(delays_ms, self._news_for(vm))
            self._break_connections(vm)

    def _break_connections(self, vm):
        """Show the restart to a VM with an open connection."""
        state = vm.registry.find(UPSTREAM)
        if state and vm.has_connection():
            vm.connected_ms = 0
            before = state.upstream.incarnation
            event = self._for_start(
                vm,
                lambda: vm.restarts.expect(before),
            )
            self._later((1, 20), event)

    def _send_heartbeats(self):
        running = list(filter(ColdVm.is_reached, self.vms))
        for sender in running:
            alive = sender.members.alive()
            heartbeat = Heartbeat(
                sender.facts(),
                tuple(self.rng.sample(alive, min(2, len(alive)))),
                {},
                unheard=sender.members.unheard_records[:4],
            )
            for receiver in running:
                if self.rng.random() >= HEARTBEAT_LOSS:
                    receiver.members.record_heartbeat(heartbeat)

    def _send(self, vm):
        state = vm.registry.find(UPSTREAM) if vm.runs() else None
        if state is None:
            return
        is_cold = state.is_cold(self.clock.now_ms())
        if is_cold and not vm.limiter.allows(state, RULES):
            return
        vm.limiter.count_request(UPSTREAM)
        if not vm.has_connection() and not self._connect(vm, state):
            return
        vm.sent_at_ms = self.clock.now_ms()
        connected_ms = vm.connected_ms
        self._later(NETWORK_MS, lambda: self._arrive(connected_ms))

    def _connect(self, vm, state):
        """Open a connection; return whether the known start accepted it."""
        vm.connected_ms = self.clock.now_ms()
        vm.sent_at_ms = vm.connected_ms
        incarnation = state.upstream.incarnation
        vm.restarts.record_connect(incarnation)
        is_known = state.upstream.born_ms == self.entry.born_ms
        if not is_known:
            vm.restarts.expect(incarnation)
        return is_known

    def _arrive(self, connected_ms):
        """Receive a request, unless a restart has broken its connection."""
        if connected_ms < self.upstream_started_ms:
            return
        now_ms = self.clock.now_ms()
        age_ms = now_ms - self.upstream_started_ms
        is_first = self.upstream_started_ms == 100_000
        if not self.restarts_upstream or (
            age_ms < RULES.cold_start_ms and not is_first
        ):
            self.arrivals.append(now_ms)
