"""Stateful model of several entry VMs, checked against simple oracles."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from catkindrift.core import ConfigurationReceived
from catkindrift.domain import Drain, DrainIntent, DrainScope, ShiftIntent
from catkindrift.errors import ConflictError, NotFoundError
from catkindrift.plans import Planner, add_plan, confirm_plan
from catkindrift.retries import Interrupted, InterruptedReason
from tests.fakes import STEP_MS, Fleet

VMS = ('north-1-a', 'north-1-b', 'south-1-a', 'south-1-b')
NODES = (*VMS, 'platform')
LEAVING_DEADLINE_MS = 5000
WINDOW_MS = 1000
SETTLE_MS = 12_000
MAX_CRASHES = 2
POISON = 'poison'

vm_names = st.sampled_from(VMS)
services = st.sampled_from(('read', 'load'))
numbers = st.integers(min_value=0, max_value=30)


def is_platform_up(model):
    """Return whether operators can write to the platform."""
    return not model.fleet.platform.is_down


class FleetModel(RuleBasedStateMachine):
    """Entry VMs under load, partitions, pauses, crashes and outages."""

    @initialize(
        seed=st.integers(min_value=0, max_value=1000),
        cap=st.sampled_from((0, 1, 3, 8)),
    )
    def start(self, seed, cap):
        """Start two zones with two entry VMs each; shift if `cap` is set."""
        self.fleet = Fleet(seed=seed)
        self.disturbed_ms = dict.fromkeys(NODES, 0)
        self.leaving_ms = {}
        self.revisions = {}
        self.caps = {}
        self.seen_dispatches = len(self.fleet.dispatches)
        self.is_always_connected = True
        if cap:
            self.shift('north-1-a', cap)
            self.fleet.advance(SETTLE_MS)

    def mark_disturbed(self, *names):
        """Record that these VMs may lag behind from now on."""
        for name in names:
            self.disturbed_ms[name] = self.fleet.clock.now_ms()
        self.is_always_connected = False

    def pick(self, number):
        """Return one of the running attempts, or None without any."""
        attempts = self.fleet.attempts
        return attempts[number % len(attempts)] if attempts else None

    @rule(vm=vm_names, service=services, count=st.integers(1, 4))
    def read(self, vm, service, count):
        """Callers send idempotent or non-idempotent requests."""
        if vm in self.fleet.vms:
            for _ in range(count):
                method = 'GET' if service == 'read' else 'POST'
                self.fleet.arrive(vm, service, method=method)

    @rule(vm=vm_names, rounds=st.integers(5, 20), count=st.integers(1, 4))
    def rush(self, vm, rounds, count):
        """Callers keep an entry VM busy while upstreams respond."""
        for _ in range(rounds):
            self.read(vm, 'read', count)
            self.advance(1)
            for attempt in list(self.fleet.attempts):
                if attempt.request.service == 'read':
                    self.fleet.answer(attempt)

    @rule(
        sleeper=st.sampled_from(VMS[:2]),
        steps=st.sampled_from((5, 40, 60, 150)),
    )
    def oversleep(self, sleeper, steps):
        """A VM pauses while its peer continues, then resumes under load."""
        other = VMS[1 - VMS.index(sleeper)]
        self.pause(sleeper)
        self.advance(steps)
        self.rush(other, 10, 3)
        self.wake()
        self.rush(sleeper, 4, 3)

    @rule(vm=vm_names, key=st.sampled_from('kl'))
    def book(self, vm, key):
        """A caller sends or repeats a request that must run at most once."""
        if vm in self.fleet.vms:
            self.fleet.arrive(
                vm,
                'book',
                method='POST',
                fingerprint=f'book-{key}',
                idempotency_key=key,
            )

    @rule(vm=vm_names)
    def poison(self, vm):
        """A caller sends a request that crashes each upstream that runs it."""
        if vm not in self.fleet.vms:
            return
        self.fleet.arrive(vm, 'read', fingerprint=POISON)
        while True:
            running = [
                each
                for each in self.fleet.attempts
                if each.request.fingerprint == POISON
            ]
            if not running:
                break
            self.fleet.crashes[POISON] += 1
            self.fleet.crash(running[0].upstream)
        if self.is_always_connected:
            self.fleet.exchange_all()

    @rule(vm=vm_names, number=numbers)
    def show_old_configuration(self, vm, number):
        """A watch or a lagging peer delivers an older configuration."""
        history = self.fleet.history
        old = history[number % len(history)]
        self.fleet.post(vm, ConfigurationReceived(old))

    @rule(number=numbers)
    def answer(self, number):
        """An upstream responds."""
        attempt = self.pick(number)
        if attempt:
            self.fleet.answer(attempt)

    @rule(number=numbers)
    def refuse(self, number):
        """An upstream refuses a request before it starts."""
        attempt = self.pick(number)
        if attempt:
            self.fleet.refuse(attempt)

    @rule(number=numbers, reason=st.sampled_from(InterruptedReason))
    def break_off(self, number, reason):
        """A connection to an upstream is lost; the request may have run."""
        attempt = self.pick(number)
        if attempt:
            self.fleet.run(attempt)
            self.fleet.end(attempt, Interrupted(reason, can_resend=True))

    @rule(number=numbers)
    def crash(self, number):
        """An upstream crashes with all its running requests."""
        attempt = self.pick(number)
        if attempt:
            self.fleet.crash(attempt.upstream)

    @rule()
    def restore(self):
        """All upstreams accept connections again."""
        for upstream in list(self.fleet.down_upstreams):
            self.fleet.restore(upstream)

    @rule(steps=st.integers(1, 40))
    def advance(self, steps):
        """Time passes."""
        self.record_leaving()
        for _ in range(steps):
            for first, second in self.fleet.cuts:
                self.mark_disturbed(first, second)
            for vm in self.fleet.vms.values():
                if vm.is_paused:
                    self.mark_disturbed(vm.name)
            if self.fleet.platform.is_down:
                self.mark_disturbed(*VMS)
            self.fleet.advance(STEP_MS)
            self.check_dispatches()
            self.record_leaving()

    @rule(vm=vm_names)
    def kill(self, vm):
        """An entry VM crashes."""
        if vm in self.fleet.vms and len(self.fleet.vms) > 1:
            self.fleet.kill_vm(vm)
            self.mark_disturbed(*VMS)

    @rule(vm=vm_names)
    def restart(self, vm):
        """A crashed entry VM restarts without state."""
        if vm in self.fleet.vms:
            return
        known = [
            record.revision
            for peer in self.fleet.vms.values()
            if not peer.is_paused and not self.fleet.is_cut(vm, peer.name)
            for record in peer.core.state.members.records()
            if record.vm.name == vm
        ]
        self.fleet.start_vm(vm)
        self.mark_disturbed(vm)
        self.revisions[vm] = max(known, default=0)

    @rule(vm=vm_names)
    def pause(self, vm):
        """An entry VM stops processing events."""
        if vm in self.fleet.vms:
            self.fleet.pause(vm)
            self.mark_disturbed(vm)

    @rule()
    def wake(self):
        """Paused entry VMs resume."""
        for vm in list(self.fleet.vms.values()):
            if vm.is_paused:
                self.mark_disturbed(vm.name)
                self.fleet.resume(vm.name)

    @rule(first=vm_names, second=st.sampled_from(NODES))
    def cut(self, first, second):
        """Two VMs, or a VM and the platform, are partitioned."""
        if first != second:
            self.fleet.cuts.add(frozenset((first, second)))
            self.mark_disturbed(first, second)

    @rule()
    def heal(self):
        """All partitions end."""
        for pair in self.fleet.cuts:
            self.mark_disturbed(*pair)
        self.fleet.cuts.clear()

    @rule(is_down=st.booleans())
    def outage(self, is_down):
        """A platform outage starts or ends."""
        self.fleet.platform.is_down = is_down
        self.mark_disturbed(*VMS)

    @rule()
    def lose_answer(self):
        """The response to the next platform write is lost."""
        self.fleet.platform.lost_answers = 1

    @precondition(is_platform_up)
    @rule(vm=vm_names, number=numbers)
    def drain(self, vm, number):
        """An operator drains an upstream."""
        names = [
            name
            for name, listed in self.fleet.vm_list.items()
            if listed.service
        ]
        target = names[number % len(names)]
        intent = DrainIntent(Drain(DrainScope.VM, target))
        self.state_intent(vm, intent)

    @precondition(is_platform_up)
    @rule(vm=vm_names, cap=st.sampled_from((1, 2, 3, 7)))
    def shift(self, vm, cap):
        """An operator moves traffic from north to south."""
        intent = ShiftIntent('read', 'north', 'south', cap, 100)
        name = self.state_intent(vm, intent)
        if name:
            self.caps[name] = cap

    def state_intent(self, vm, intent):
        """Confirm a plan for an intent; return its name, None on failure."""
        fleet = self.fleet
        if vm not in fleet.vms or fleet.vms[vm].is_paused:
            return None
        name = f'plan-{fleet.configuration.revision}'
        try:
            plan = Planner(fleet.configuration, fleet.view(vm)).plan(
                name,
                intent,
            )
        except (ConflictError, NotFoundError):
            return None
        proposed = add_plan(fleet.configuration, plan)
        fleet.configuration = confirm_plan(
            proposed,
            name,
            fleet.clock.wall_ms(),
        )
        return name

    def record_leaving(self):
        """Record when the first entry VM knew that an upstream is leaving."""
        now_ms = self.fleet.clock.now_ms()
        for vm in self.fleet.vms.values():
            if vm.is_paused:
                continue
            for drain in vm.core.state.active_config.configuration.drains:
                self.leaving_ms.setdefault(drain.target, now_ms)

    def check_dispatches(self):
        """Check that leaving upstreams get no requests after the deadline."""
        new = self.fleet.dispatches[self.seen_dispatches :]
        self.seen_dispatches = len(self.fleet.dispatches)
        for at_ms, vm, upstream in new:
            known_ms = self.leaving_ms.get(upstream.name)
            disturbed_ms = self.disturbed_ms[vm]
            if known_ms is None or at_ms - disturbed_ms < LEAVING_DEADLINE_MS:
                continue
            assert at_ms - known_ms < LEAVING_DEADLINE_MS, (vm, upstream.name)

    @invariant()
    def shift_within_cap(self):
        """No one-second window has more moved requests than the cap."""
        for name, cap in self.caps.items():
            times = [
                at_ms for shift, at_ms in self.fleet.moves if shift == name
            ]
            for at_ms in times:
                window = [
                    each for each in times if at_ms <= each < at_ms + WINDOW_MS
                ]
                assert len(window) <= cap, (name, cap)

    @invariant()
    def runs_once(self):
        """No idempotency key ran twice."""
        assert all(count <= 1 for count in self.fleet.runs.values())

    @invariant()
    def grants_within_room(self):
        """Grants to other zones sum to no more than an upstream's slots."""
        for upstream in self.fleet.vm_list.values():
            if not upstream.service:
                continue
            lent = sum(
                vm.core.state.held_grants.borrowed_slots(upstream.name)
                for vm in self.fleet.vms.values()
                if vm.core.state.identity.zone != upstream.zone
            )
            assert lent <= upstream.slots

    @invariant()
    def granted_room_is_there_when_settled(self):
        """Without recent faults no granted request meets a full upstream.

        Within a zone a VM may use an idle slot that a peer owns, so there
        the upstream itself refuses excess requests.
        """
        settled_ms = max(self.disturbed_ms.values()) + SETTLE_MS
        late = [
            each
            for each in self.fleet.cross_zone_refusals
            if each[0] > settled_ms
        ]
        assert not late

    @invariant()
    def revisions_rise(self):
        """No VM activates a lower revision, not even after a restart."""
        for vm in self.fleet.vms.values():
            revision = vm.core.state.active_config.revision
            if not revision:
                continue
            assert revision >= self.revisions.get(vm.name, 0)
            self.revisions[vm.name] = revision

    @invariant()
    def poison_is_contained(self):
        """Without earlier faults, a poison request crashes at most two."""
        if self.is_always_connected:
            assert self.fleet.crashes[POISON] <= MAX_CRASHES

    @invariant()
    def deadlines_end_waiting(self):
        """No request waits past its deadline at a VM that is not paused."""
        now_ms = self.fleet.clock.now_ms()
        for vm in self.fleet.vms.values():
            if vm.is_paused:
                continue
            for queue in vm.core.state.queues.values():
                for pending in queue:
                    assert pending.deadline_ms > now_ms - STEP_MS

    @invariant()
    def nothing_breached(self):
        """The invariants that the core checks itself hold."""
        assert not self.fleet.breaches()


TestFleetModel = FleetModel.TestCase
