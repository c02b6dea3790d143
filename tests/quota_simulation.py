"""Entry VMs that divide quotas, in virtual time and without a network."""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque

import attrs

from catkindrift.workspaces import QuotaBounds, QuotaShares, Workspace

BOUNDS = QuotaBounds()
# Interval of heartbeats.
REPORT_MS = 500
# Latencies between VMs and the time until a silent VM is known as such, as in
# the requirements and in `Members`.
LATENCY_MS = (1, 20)
SILENT_MS = 4000
# Time after its start from which a VM knows the others.
SETTLING_MS = 2500
_PROCESS = itertools.count(1)


@attrs.define(eq=False)
class SimulatedVm:
    """One process of an entry VM."""

    name: str
    started_ms: int
    shares: QuotaShares = attrs.field(init=False)
    is_up: bool = True
    heard: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.shares = QuotaShares(
            self.name, next(_PROCESS), self.started_ms, BOUNDS
        )


@attrs.define(eq=False)
class QuotaSimulation:
    """A fleet under demand that the caller of `run` sets.

    Args:
        seed: Seed of all random choices.
        count: Entry VMs at the start.
        workspaces: Workspaces with a quota.
        is_enforced: Whether the decision of the VMs is followed.
    """

    seed: int
    count: int
    workspaces: tuple
    is_enforced: bool = True
    bounds: QuotaBounds = BOUNDS
    now_ms: int = 0
    vms: dict = attrs.field(factory=dict)
    groups: dict = attrs.field(factory=dict)
    demand: dict = attrs.field(factory=dict)
    weights: dict = attrs.field(factory=dict)
    admitted: dict = attrs.field(factory=lambda: defaultdict(deque))
    offered: dict = attrs.field(factory=lambda: defaultdict(deque))
    over: Counter = attrs.field(factory=Counter)
    worst: dict = attrs.field(factory=lambda: defaultdict(float))
    refused: Counter = attrs.field(factory=Counter)
    refused_below: Counter = attrs.field(factory=Counter)
    served: Counter = attrs.field(factory=Counter)
    messages: int = 0
    _queue: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)
        for index in range(self.count):
            self.start(f'vm-{index}')
        for workspace in self.workspaces:
            self._at(self._rng.uniform(0, 100), self._arrive, workspace.name)

    def start(self, name):
        vm = SimulatedVm(name, self.now_ms)
        self.vms[name] = vm
        self.weights.setdefault(name, 1)
        self._at(self._rng.uniform(0, REPORT_MS), self._tick, vm)

    def stop(self, name):
        self.vms[name].is_up = False

    def cut(self, *groups):
        """Let VMs hear only those of their group; no groups end the cut."""
        self.groups = {}
        for number, group in enumerate(groups):
            self.groups.update(dict.fromkeys(group, number))

    def limit(self, workspace, rate_per_s):
        """Change the quota of a workspace."""
        self.workspaces = tuple(
            attrs.evolve(each, rate_per_s=rate_per_s)
            if each.name == workspace
            else each
            for each in self.workspaces
        )

    def run(self, until_ms):
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, action, arguments = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, int(at_ms))
            action(*arguments)
        self.now_ms = until_ms

    def _at(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def _reaches(self, sender, receiver):
        groups = self.groups
        return groups.get(sender) == groups.get(receiver)

    def _tick(self, vm):
        if not vm.is_up or self.vms[vm.name] is not vm:
            return
        now_ms = self.now_ms
        vm.heard.update(
            (other.name, now_ms)
            for other in self.vms.values()
            if other.is_up and self._reaches(other.name, vm.name)
        )
        alive = [
            name
            for name, heard_ms in vm.heard.items()
            if now_ms - heard_ms < SILENT_MS and name != vm.name
        ]
        is_settled = now_ms - vm.started_ms >= SETTLING_MS
        names = sorted(self.vms) if is_settled else ()
        vm.shares.update(names, alive, self.workspaces)
        self._report(vm)
        self._at(REPORT_MS, self._tick, vm)

    def _report(self, vm):
        report = vm.shares.report(self.now_ms)
        self._send(vm.name, report.owner, self._take_report, report)

    def _send(self, sender, receiver, action, message):
        if sender == receiver:
            action(self.vms[receiver], message)
        elif self._reaches(sender, receiver):
            self.messages += 1
            self._at(
                self._rng.uniform(*LATENCY_MS),
                self._deliver,
                receiver,
                action,
                message,
            )

    def _deliver(self, receiver, action, message):
        vm = self.vms.get(receiver)
        if vm and vm.is_up:
            action(vm, message)

    def _take_report(self, owner, report):
        reply = owner.shares.owner.answer(report, self.now_ms)
        if reply:

            def take(vm, message):
                vm.shares.apply(owner.name, message, self.now_ms)

            self._send(owner.name, report.vm, take, reply)
        news = owner.shares.owner.take_update()
        if news:

            def take_update(vm, message):
                vm.shares.apply_update(owner.name, message)

            for name in list(self.vms):
                self._send(owner.name, name, take_update, news)

    def _arrive(self, name):
        per_s = self.demand.get(name, 0)
        if not per_s:
            self._at(50, self._arrive, name)
            return
        self._at(self._rng.expovariate(per_s) * 1000, self._arrive, name)
        workspace = next(each for each in self.workspaces if each.name == name)
        up = [vm for vm in self.vms.values() if vm.is_up]
        vm = self._rng.choices(up, [self.weights[each.name] for each in up])[0]
        self._offer(vm, workspace)

    def _offer(self, vm, workspace):
        now_ms = self.now_ms
        name = workspace.name
        oldest_ms = now_ms - self.bounds.window_ms
        for times in (self.admitted[name], self.offered[name]):
            while times and times[0] <= oldest_ms:
                times.popleft()
        self.offered[name].append(now_ms)
        wait_ms = vm.shares.try_admit(workspace, now_ms)
        if wait_ms and self.is_enforced:
            self.refused[name] += 1
            is_below = len(self.offered[name]) <= self.bounds.quota(workspace)
            self.refused_below[name] += is_below
            return
        if vm.shares.is_report_due(now_ms):
            self._report(vm)
        self.served[name] += 1
        self.admitted[name].append(now_ms)
        count = len(self.admitted[name])
        ceiling = self.bounds.ceiling(workspace)
        self.worst[name] = max(self.worst[name], count / ceiling)
        self.over[name] += count > ceiling


def workspaces_of(*rates, burst=10):
    """Return workspaces with these quotas."""
    return tuple(
        Workspace(f'ws-{index}', rate_per_s=rate, burst=burst)
        for index, rate in enumerate(rates)
    )
