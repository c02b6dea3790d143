"""Simulation of a limited upstream and many entry VMs in virtual time."""

import heapq
import itertools
import random

import attrs

from catkindrift.clock import ManualClock
from catkindrift.steering import UpstreamLimits

UPSTREAM = 'i-1@1'
STEP_MS = 10
WINDOW_MS = 4000
STABLE_WINDOW_MS = 4000
# A VM counts as told this long after it has passed on an answer with the limit.
TOLD_MS = 500
HEARTBEAT_MS = 500
RESTART_MS = 1500
FREEZE_MS = 5000
CUT_MS = 8000
FAULT_EVERY_MS = 2000


@attrs.define(eq=False)
class LimitedVm:
    """One entry VM; a restart loses what it knows of limits."""

    name: str
    names: tuple
    clock: ManualClock
    back_at_ms: int = 0
    cut_until_ms: int = 0
    told_ms: int | None = None
    excused_until_ms: int = 0
    limits: UpstreamLimits = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.restart(0)

    def restart(self, back_at_ms):
        self.back_at_ms = back_at_ms
        self.told_ms = None
        self.limits = UpstreamLimits(self.clock, self.name)
        self.limits.update_members(self.names)

    def runs(self):
        return self.clock.now_ms() >= self.back_at_ms

    def is_cut(self):
        return self.clock.now_ms() < self.cut_until_ms


@attrs.define(eq=False)
class LimitSimulation:
    """Seeded traffic from many VMs to an upstream that names a limit.

    Args:
        seed: Seed of the random numbers.
        per_second: The limit; None names none.
        vm_count: Number of entry VMs.
        hears_others: Whether heartbeats pass between VMs.
        has_faults: Whether VMs are restarted, frozen and cut off.
        demand: Requests per second over all VMs that prefer this upstream.
        seconds: Length of the run.
    """

    seed: int
    per_second: float | None
    vm_count: int
    hears_others: bool = True
    has_faults: bool = True
    demand: int = 120
    seconds: int = 40
    ends_ms: int = 1_000_000
    arrivals: list = attrs.field(factory=list)
    named_ms: int | None = None
    rng: random.Random = attrs.field(init=False)
    clock: ManualClock = attrs.field(factory=ManualClock)
    vms: list = attrs.field(init=False)
    _due: list = attrs.field(factory=list)
    _tokens: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.clock.advance(100_000)
        names = tuple(f'front-{number}' for number in range(self.vm_count))
        self.vms = [LimitedVm(name, names, self.clock) for name in names]

    def run(self):
        """Run to the end and return the simulation."""
        self.clock.advance(10_000)
        began_ms = self.clock.now_ms()
        while self.clock.now_ms() < began_ms + self.seconds * 1000:
            self.clock.advance(STEP_MS)
            elapsed_ms = self.clock.now_ms() - began_ms
            if self.has_faults and elapsed_ms % FAULT_EVERY_MS == 0:
                self._inject_fault()
            if self.hears_others and elapsed_ms % HEARTBEAT_MS == 0:
                self._send_heartbeats()
            if self.rng.random() < self.demand * STEP_MS / 1000:
                self._send(self.rng.choice(self.vms))
            self._deliver(elapsed_ms)
        return self

    def excess(self, *, with_excused):
        """Return the largest number beyond the allowed one in any window.

        Args:
            with_excused: Whether requests of VMs count that were restarted,
                frozen or cut off lately.
        """
        first_ms = self.named_ms + STABLE_WINDOW_MS
        counted = [
            at_ms
            for at_ms, is_told, is_excused in self.arrivals
            if at_ms >= first_ms
            and is_told
            and (with_excused or not is_excused)
        ]
        most = max(
            (
                sum(start <= each < start + WINDOW_MS for each in counted)
                for start in counted
            ),
            default=0,
        )
        return most - (1.5 * self.per_second * WINDOW_MS / 1000 + 5)

    def _inject_fault(self):
        now_ms = self.clock.now_ms()
        vm = self.rng.choice(self.vms)
        kind = self.rng.choice(('restart', 'freeze', 'cut'))
        if kind == 'restart':
            vm.restart(now_ms + RESTART_MS)
            vm.excused_until_ms = now_ms + RESTART_MS + STABLE_WINDOW_MS
        elif kind == 'freeze':
            vm.back_at_ms = now_ms + FREEZE_MS
            vm.excused_until_ms = now_ms + FREEZE_MS + STABLE_WINDOW_MS
        else:
            vm.cut_until_ms = now_ms + CUT_MS
            vm.excused_until_ms = now_ms + CUT_MS + STABLE_WINDOW_MS

    def _send_heartbeats(self):
        for sender in filter(LimitedVm.runs, self.vms):
            notices = () if sender.is_cut() else sender.limits.notices()
            for receiver in self.vms if notices else ():
                is_reached = receiver.runs() and not receiver.is_cut()
                if is_reached and receiver is not sender:
                    receiver.limits.merge(notices)

    def _send(self, vm):
        if not vm.runs() or vm.limits.wait_ms(UPSTREAM):
            return
        vm.limits.count_request(UPSTREAM)
        now_ms = self.clock.now_ms()
        arrives_ms = now_ms + self.rng.randint(1, 250)
        self._schedule(arrives_ms, 'arrive', vm, vm.limits, now_ms)

    def _schedule(self, at_ms, *event):
        heapq.heappush(self._due, (at_ms, next(self._tokens), event))

    def _deliver(self, elapsed_ms):
        while self._due and self._due[0][0] <= self.clock.now_ms():
            _, _, (kind, vm, limits, sent_ms, *named) = heapq.heappop(self._due)
            if kind == 'arrive':
                self._arrive(vm, limits, sent_ms, elapsed_ms)
            elif limits is vm.limits:
                self._answer(vm, sent_ms, *named)

    def _arrive(self, vm, limits, sent_ms, elapsed_ms):
        now_ms = self.clock.now_ms()
        is_told = vm.told_ms is not None and now_ms - vm.told_ms >= TOLD_MS
        is_excused = now_ms < vm.excused_until_ms
        self.arrivals.append((now_ms, is_told, is_excused))
        named = self.per_second if elapsed_ms < self.ends_ms else None
        if named is not None and self.named_ms is None:
            self.named_ms = now_ms
        took_ms = self.rng.randint(50, 600)
        self._schedule(now_ms + took_ms, 'answer', vm, limits, sent_ms, named)

    def _answer(self, vm, sent_ms, named):
        vm.limits.record(UPSTREAM, named, sent_ms)
        if named is not None and vm.told_ms is None:
            vm.told_ms = self.clock.now_ms()
