"""Entry VMs, upstreams and crashing requests in virtual time."""

import asyncio
import random
from fractions import Fraction

import attrs

from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.steering import (
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
# A VM is in touch when it has run and been heard for this time.
IN_TOUCH_MS = 3000
HEARTBEAT_STEPS = 5
RUN_STEPS = 3
DOWN_STEPS = 30
AWAY_STEPS = 40
# Probabilities in one step.
PLAIN_SHARE = Fraction(6, 10)
POISON_SHARE = Fraction(3, 10)
DISTURBANCES = Fraction(6, 1000)
MASS_SHARE = Fraction(1, 100)
LOST_SHARE = Fraction(5, 100)


@attrs.define(eq=False)
class SimulatedVm:
    """One entry VM; a restart replaces what it knows."""

    name: str
    bench: Bench
    members: Members
    in_touch_since_ms: int = -IN_TOUCH_MS
    away_steps: int = 0
    has_news: bool = False
    watched: CrashWatchHarness = attrs.field(init=False)
    isolation: SuspectIsolation = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.restart()

    def restart(self):
        self.watched = CrashWatchHarness(
            self.bench.clock, on_confirmed_crash=self.note_news
        )
        self.isolation = SuspectIsolation(
            self.bench.placement,
            self.watched.watch,
            self.bench.registry,
            self.members,
            self.name,
        )

    def note_news(self):
        self.has_news = True

    def is_in_touch(self):
        silent_ms = self.bench.clock.now_ms() - self.in_touch_since_ms
        return not self.away_steps and silent_ms >= IN_TOUCH_MS


@attrs.define(eq=False)
class RunningRequest:
    """A request that an upstream runs."""

    vm: SimulatedVm
    fingerprint: str
    state: object
    token: int
    ends_at: int


@attrs.define(eq=False)
class CrashSimulation:
    """Seeded traffic; some requests end each upstream that runs them.

    Args:
        seed: Seed of all choices.
        mass_crashes: Whether upstreams also end for other reasons.
        is_disturbed: Whether VMs are cut off and start again, and datagrams
            are lost.
    """

    seed: int
    mass_crashes: bool = False
    is_disturbed: bool = True
    vm_count: int = 6
    upstream_count: int = 14
    steps: int = 300
    ended_by: dict = attrs.field(factory=dict)
    late_runs: list = attrs.field(factory=list)
    needless_runs: list = attrs.field(factory=list)
    refused_innocents: set = attrs.field(factory=set)
    served: int = 0
    step: int = 0
    rng: random.Random = attrs.field(init=False)
    bench: Bench = attrs.field(init=False)
    vms: list = attrs.field(init=False, factory=list)
    _tokens: int = 0
    _running: list = attrs.field(factory=list)
    _down: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.bench = Bench(*sample_upstreams(self.upstream_count))
        names = [f'front-{number}' for number in range(self.vm_count)]
        for name in names:
            members = Members(self.bench.clock, name)
            members.record_facts(map(member, names))
            self.vms.append(SimulatedVm(name, self.bench, members))

    def run(self):
        """Play all steps."""
        asyncio.run(self._play())
        return self

    async def _play(self):
        for step in range(self.steps):
            self.step = step
            self.bench.clock.advance(STEP_MS)
            self._keep_alive()
            self._disturb()
            self._arrive()
            await self._finish()
            self._tell()

    def _keep_alive(self):
        """Members count as alive all the while: their list lags."""
        for vm in self.vms:
            facts = [
                attrs.evolve(member(each.name), count=self.step + 2)
                for each in self.vms
            ]
            vm.members.record_facts(facts)

    def _disturb(self):
        for vm in self.vms if self.is_disturbed else ():
            if vm.away_steps:
                vm.away_steps -= 1
                vm.in_touch_since_ms = self.bench.clock.now_ms()
            elif self._happens(DISTURBANCES):
                self.rng.choice((self._cut_off, self._restart))(vm)
        for name, back_at in list(self._down.items()):
            if back_at <= self.step:
                self._down.pop(name)
                number = len(self._down)
                again = sample_upstream(f'again-{self.step}-{number}')
                self.bench.registry.put(again, 0)

    def _happens(self, share):
        return self.rng.random() < share

    def _cut_off(self, vm):
        vm.away_steps = AWAY_STEPS

    def _restart(self, vm):
        """Replace a process; those that hear of it tell it what they know."""
        vm.restart()
        vm.in_touch_since_ms = self.bench.clock.now_ms()
        self._running = [each for each in self._running if each.vm is not vm]
        for other in self.vms:
            if other is not vm and not other.away_steps:
                vm.watched.watch.merge_reports(
                    other.watched.watch.next_crashes()
                )

    def _arrive(self):
        for vm in self.vms:
            if self._happens(PLAIN_SHARE):
                self._send(vm, f'plain-{self.rng.randrange(200)}', RUN_STEPS)
        for number in range(3):
            if self._happens(POISON_SHARE):
                self._send(self.rng.choice(self.vms), f'poison-{number}', 1)

    def _send(self, vm, fingerprint, run_steps):
        now_ms = self.bench.clock.now_ms()
        key = str(self.rng.randrange(20))
        asked = PlacementRequest(
            sample_route(), 'tariffs', key, 8000, is_urgent=True
        )
        choice = vm.isolation.choose(asked, fingerprint)
        is_plain = fingerprint.startswith('plain')
        if not isinstance(choice, Placed):
            if is_plain and choice.reason is NotPlacedReason.QUARANTINED:
                self.refused_innocents.add(fingerprint)
            return
        self._tokens += 1
        upstream = choice.state.upstream
        running = vm.watched.watch.running
        running.assign(upstream.id, self._tokens, fingerprint)
        running.mark_sent(self._tokens)
        choice.state.record_request(self._tokens, key, now_ms)
        self._running.append(
            RunningRequest(
                vm,
                fingerprint,
                choice.state,
                self._tokens,
                self.step + run_steps,
            )
        )
        if not is_plain:
            self._note_late_run(vm, fingerprint)

    def _note_late_run(self, vm, fingerprint):
        """Keep what the platform's rule counts: sends long after the third."""
        ends = self.ended_by.get(fingerprint, [])
        now_ms = self.bench.clock.now_ms()
        if len(ends) > 1 and ends[1] < now_ms:
            self.needless_runs.append((self.step, vm.name, fingerprint))
        if len(ends) < 3 or not vm.is_in_touch():
            return
        if now_ms - ends[2] > IN_TOUCH_MS:
            self.late_runs.append((self.step, vm.name, fingerprint))

    async def _finish(self):
        due = [each for each in self._running if each.ends_at <= self.step]
        for each in due:
            if each not in self._running:
                continue
            if each.fingerprint.startswith('poison'):
                ends = self.ended_by.setdefault(each.fingerprint, [])
                ends.append(self.bench.clock.now_ms())
                await self._end(each.state.upstream)
            else:
                self._running.remove(each)
                self._leave(each)
                self.served += 1
                each.vm.watched.watch.clear_suspect(each.fingerprint)
        if self.mass_crashes and self._happens(MASS_SHARE):
            for state in self._some_upstreams():
                await self._end(state.upstream)

    def _some_upstreams(self):
        states = self.bench.registry.of_service('tariffs')
        return self.rng.sample(states, min(3, len(states)))

    async def _end(self, upstream):
        self.bench.registry.remove(upstream.id)
        self._down[upstream.id] = self.step + DOWN_STEPS
        broken = [
            each
            for each in self._running
            if each.state.upstream.id == upstream.id
        ]
        for each in broken:
            each.vm.watched.watch.record_disconnect(upstream, each.fingerprint)
        for each in broken:
            self._running.remove(each)
            self._leave(each)
            while each.vm.watched.watch._checks:
                await asyncio.sleep(0)

    def _leave(self, each):
        each.state.record_end(each.token)
        running = each.vm.watched.watch.running
        running.remove(each.state.upstream.id, each.token)

    def _tell(self):
        for vm in self.vms:
            if vm.away_steps:
                continue
            if not vm.has_news and self.step % HEARTBEAT_STEPS:
                continue
            vm.has_news = False
            told = vm.watched.watch.next_crashes()
            cleared = vm.watched.watch.reports.newest_cleared()
            for other in self.vms:
                is_lost = self.is_disturbed and self._happens(LOST_SHARE)
                if other is not vm and not other.away_steps and not is_lost:
                    other.watched.watch.merge_reports(told, cleared)
