"""Simulation of crashing requests at several entry VMs in virtual time."""

import asyncio
import random
from collections import Counter
from fractions import Fraction

import attrs

from catkindrift.blame import without_caller
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.gateway._upstream_check import Liveness
from catkindrift.steering import (
    EntryVmRecord,
    Members,
    NotPlacedReason,
    Placed,
    PlacementRequest,
)
from tests.steering_samples import sample_route, sample_upstream
from tests.test_crash_watch import CrashWatchHarness
from tests.test_steering import Bench, sample_upstreams
from tests.test_suspect_isolation import member

STEP_MS = 100
# A VM counts as connected when it has run without a cut for this time.
CONNECTED_MS = 3000
HEARTBEAT_STEPS = 5
# A VM that hears no others reads what they wrote within this time.
STORE_STEPS = 15
# Steps within which an upstream that has restarted states its start.
STATED_WITHIN_STEPS = 10
RUN_STEPS = 3
DOWN_STEPS = 30
CUT_OFF_STEPS = 40
# Probabilities in one step.
PLAIN_PROBABILITY = Fraction(6, 10)
POISON_PROBABILITY = Fraction(3, 10)
FAULT_PROBABILITY = Fraction(6, 1000)
MASS_CRASH_PROBABILITY = Fraction(1, 100)
LOSS_PROBABILITY = Fraction(5, 100)


@attrs.define(eq=False)
class SimulatedVm:
    """One entry VM; a restart loses its crash reports."""

    name: str
    bench: Bench
    members: Members
    keeps_ids: bool = False
    connected_since_ms: int = -CONNECTED_MS
    cut_off_steps: int = 0
    has_new_crash: bool = False
    harness: CrashWatchHarness = attrs.field(init=False)
    isolation: SuspectIsolation = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.restart()

    def restart(self):
        self.harness = CrashWatchHarness(
            self.bench.clock,
            known=self,
            on_confirmed_crash=self.record_new_crash,
        )
        if self.keeps_ids:
            self.harness.check.liveness = Liveness.UNPROVEN
        self.isolation = SuspectIsolation(
            self.bench.placement,
            self.harness.watch,
            self.bench.registry,
            self.members,
            self.name,
        )

    def get(self, upstream_id):
        """Return what the entry of an upstream states now."""
        known = self.bench.registry.find(upstream_id)
        return known.upstream if known else None

    def record_new_crash(self):
        self.has_new_crash = True

    def is_connected(self, *, hears_store):
        """Return whether it has run and heard others, or the store, lately."""
        silent_ms = self.bench.clock.now_ms() - self.connected_since_ms
        hears_any = hears_store or not self.cut_off_steps
        return hears_any and silent_ms >= CONNECTED_MS


@attrs.define(eq=False)
class RunningRequest:
    """A request that an upstream is running."""

    vm: SimulatedVm
    fingerprint: str
    state: object
    upstream: object
    began_ms: int
    token: int
    ends_at: int


@attrs.define(eq=False)
class CrashSimulation:
    """Seeded traffic in which some requests crash the upstream that runs them.

    Args:
        seed: Seed of the random numbers.
        mass_crashes: Whether upstreams also crash for other reasons.
        has_faults: Whether VMs are cut off and restarted, and datagrams are
            lost.
        keeps_ids: Whether upstreams restart at once under their id, and state
            their new start up to a second later.
        has_store: Whether VMs that hear no others still hear the store, and
            so stay in touch.
        vm_count: Number of entry VMs.
        upstream_count: Number of upstreams.
        steps: Number of steps.
        poison_count: Number of requests that crash upstreams.
        poison_probability: Probability of a repeat of each, in one step.
        poison_steps: Steps that such a request runs before the crash.
        plain_probability: Probability of a plain request at a VM, in one step.
        has_one_address: Whether repeats come from one address.
        is_silent: Whether upstreams that end fall silent, instead of refusing
            connects. Their neighbours respond.
    """

    seed: int
    mass_crashes: bool = False
    has_faults: bool = True
    keeps_ids: bool = False
    has_store: bool = False
    vm_count: int = 6
    upstream_count: int = 14
    steps: int = 300
    poison_count: int = 3
    poison_probability: Fraction = POISON_PROBABILITY
    poison_steps: int = 1
    plain_probability: Fraction = PLAIN_PROBABILITY
    has_one_address: bool = True
    is_silent: bool = False
    crash_times_ms: dict = attrs.field(factory=dict)
    late_runs: list = attrs.field(factory=list)
    needless_runs: list = attrs.field(factory=list)
    quarantined_plain: set = attrs.field(factory=set)
    refusals: Counter = attrs.field(factory=Counter)
    served: int = 0
    step: int = 0
    rng: random.Random = attrs.field(init=False)
    bench: Bench = attrs.field(init=False)
    vms: list = attrs.field(init=False, factory=list)
    _tokens: int = 0
    _running: list = attrs.field(factory=list)
    _down: dict = attrs.field(factory=dict)
    _stated_at: dict = attrs.field(factory=dict)
    _records: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        upstreams = sample_upstreams(self.upstream_count)
        born_ms = 1 if self.keeps_ids else 0
        self.bench = Bench(
            *(attrs.evolve(each, born_ms=born_ms) for each in upstreams)
        )
        names = [f'front-{number}' for number in range(self.vm_count)]
        for name in names:
            members = Members(self.bench.clock, name)
            members.record_facts(map(member, names))
            self.vms.append(
                SimulatedVm(name, self.bench, members, self.keeps_ids)
            )

    def run(self):
        """Run all steps and return the simulation."""
        asyncio.run(self._run_steps())
        return self

    async def _run_steps(self):
        for step in range(self.steps):
            self.step = step
            self.bench.clock.advance(STEP_MS)
            self._refresh_members()
            self._inject_faults()
            self._restart_upstreams()
            self._send_requests()
            await self._finish()
            await self._let_checks_run()
            self._send_heartbeats()
            if self.has_store and step % STORE_STEPS == 0:
                self._read_store()
        for vm in self.vms:
            for check in vm.harness.watch._checks.values():
                check.cancel()

    async def _let_checks_run(self):
        for _ in range(8 if self.keeps_ids else 0):
            await asyncio.sleep(0)

    def _restart_upstreams(self):
        """State the new starts that are due in the entries of upstreams."""
        for upstream, due in list(self._stated_at.items()):
            if due <= self.step:
                self._stated_at.pop(upstream)
                self.bench.registry.put(
                    attrs.evolve(
                        self.bench.registry.find(upstream).upstream,
                        born_ms=self.step + 2,
                        revision=self.step + 2,
                    ),
                    0,
                )

    def _read_store(self):
        """Let each VM read the records that all VMs have written."""
        for vm in self.vms:
            reports = vm.harness.watch.reports
            self._records[vm.name] = EntryVmRecord(
                '',
                reports.stored_crashes(),
                reports.newest_cleared(),
                self.bench.clock.now_ms(),
            )
        for vm in self.vms:
            self._read_records(vm)

    def _read_records(self, vm):
        """Let a VM read all records, with its own from before a restart."""
        now_ms = self.bench.clock.now_ms()
        for name, written in self._records.items():
            record = written.aged(now_ms - written.written_ms)
            vm.harness.watch.merge_reports(record.crashes, record.cleared)
            if name == vm.name:
                vm.harness.watch.reports.record_own(
                    (each.fingerprint, each.upstream) for each in record.crashes
                )

    def _refresh_members(self):
        """Keep all members alive, since the member list lags behind cuts."""
        for vm in self.vms:
            members = [
                attrs.evolve(member(each.name), count=self.step + 2)
                for each in self.vms
            ]
            vm.members.record_facts(members)

    def _inject_faults(self):
        for vm in self.vms if self.has_faults else ():
            if vm.cut_off_steps:
                vm.cut_off_steps -= 1
                if not self.has_store:
                    vm.connected_since_ms = self.bench.clock.now_ms()
            elif self._happens(FAULT_PROBABILITY):
                self.rng.choice((self._cut_off, self._restart))(vm)
        for name, back_at in list(self._down.items()):
            if back_at <= self.step:
                self._down.pop(name)
                number = len(self._down)
                replacement = sample_upstream(f'again-{self.step}-{number}')
                self.bench.registry.put(replacement, 0)

    def _happens(self, probability):
        return self.rng.random() < probability

    def _cut_off(self, vm):
        vm.cut_off_steps = CUT_OFF_STEPS

    def _restart(self, vm):
        """Restart a VM; connected VMs send it their crash reports."""
        vm.restart()
        vm.connected_since_ms = self.bench.clock.now_ms()
        self._running = [each for each in self._running if each.vm is not vm]
        for other in self.vms:
            if other is not vm and not other.cut_off_steps:
                vm.harness.watch.merge_reports(
                    other.harness.watch.reports.next_crashes()
                )
        self._read_records(vm)

    def _send_requests(self):
        for vm in self.vms:
            if self._happens(self.plain_probability):
                self._send(vm, f'plain-{self.rng.randrange(200)}', RUN_STEPS)
        for number in range(self.poison_count):
            if self._happens(self.poison_probability):
                sender = self.rng.choice(self.vms)
                self._send(sender, f'poison-{number}', self.poison_steps)

    def _send(self, vm, fingerprint, run_steps):
        now_ms = self.bench.clock.now_ms()
        key = str(self.rng.randrange(20))
        sent = fingerprint
        if not self.has_one_address:
            sent = f'{fingerprint}.{self.rng.randrange(1000)}'
        request = PlacementRequest(
            sample_route(), 'tariffs', key, 8000, is_urgent=True
        )
        choice = vm.isolation.choose(request, sent)
        is_plain = fingerprint.startswith('plain')
        if not isinstance(choice, Placed):
            self.refusals[is_plain, choice.reason] += 1
            if is_plain and choice.reason is NotPlacedReason.QUARANTINED:
                self.quarantined_plain.add(fingerprint)
            return
        self._tokens += 1
        upstream = choice.state.upstream
        running = vm.harness.watch.running
        running.assign(upstream.incarnation, self._tokens, sent)
        running.mark_sent(self._tokens)
        choice.state.record_request(self._tokens, key, now_ms)
        self._running.append(
            RunningRequest(
                vm,
                sent,
                choice.state,
                upstream,
                now_ms,
                self._tokens,
                self.step + run_steps,
            )
        )
        if not is_plain:
            self._record_late_run(vm, fingerprint)

    def _record_late_run(self, vm, fingerprint):
        """Record requests sent after the second crash, or late after the third.

        The platform limits requests that are sent long after a third crash.
        """
        times_ms = self.crash_times_ms.get(fingerprint, [])
        now_ms = self.bench.clock.now_ms()
        if len(times_ms) > 1 and times_ms[1] < now_ms:
            self.needless_runs.append((self.step, vm.name, fingerprint))
        is_in_touch = vm.is_connected(hears_store=self.has_store)
        if len(times_ms) < 3 or not is_in_touch:
            return
        if now_ms - times_ms[2] > CONNECTED_MS:
            self.late_runs.append((self.step, vm.name, fingerprint))

    async def _finish(self):
        due = [each for each in self._running if each.ends_at <= self.step]
        for each in due:
            if each not in self._running:
                continue
            if each.fingerprint.startswith('poison'):
                request = without_caller(each.fingerprint)
                times_ms = self.crash_times_ms.setdefault(request, [])
                times_ms.append(self.bench.clock.now_ms())
                await self._end(each.state.upstream)
            else:
                self._running.remove(each)
                self._release(each)
                self.served += 1
                each.vm.harness.watch.clear_suspect(each.fingerprint)
        if self.mass_crashes and self._happens(MASS_CRASH_PROBABILITY):
            for state in self._some_upstreams():
                await self._end(state.upstream)

    def _some_upstreams(self):
        states = self.bench.registry.of_service('tariffs')
        return self.rng.sample(states, min(3, len(states)))

    async def _end(self, upstream):
        if self.keeps_ids:
            stated_at = self.step + self.rng.randint(1, STATED_WITHIN_STEPS)
            self._stated_at.setdefault(upstream.id, stated_at)
        else:
            self.bench.registry.remove(upstream.id)
            self._down[upstream.id] = self.step + DOWN_STEPS
        interrupted = [
            each
            for each in self._running
            if each.state.upstream.id == upstream.id
        ]
        for each in interrupted if self.is_silent else ():
            each.vm.harness.check.by_id[upstream.id] = Liveness.UNKNOWN
            each.vm.harness.neighbours = (sample_upstream('neighbour'),)
        for each in interrupted:
            each.vm.harness.watch.record_disconnect(
                each.upstream, each.fingerprint, each.began_ms
            )
        for each in interrupted:
            self._running.remove(each)
            self._release(each)
            while each.vm.harness.watch._checks and not self.keeps_ids:
                await asyncio.sleep(0)

    def _release(self, each):
        each.state.record_end(each.token)
        running = each.vm.harness.watch.running
        running.remove(each.upstream.incarnation, each.token)

    def _send_heartbeats(self):
        for vm in self.vms:
            if vm.cut_off_steps:
                continue
            if not vm.has_new_crash and self.step % HEARTBEAT_STEPS:
                continue
            vm.has_new_crash = False
            crashes = vm.harness.watch.reports.next_crashes()
            cleared = vm.harness.watch.reports.newest_cleared()
            for other in self.vms:
                is_lost = self.has_faults and self._happens(LOSS_PROBABILITY)
                if other is not vm and not other.cut_off_steps and not is_lost:
                    other.harness.watch.merge_reports(crashes, cleared)
