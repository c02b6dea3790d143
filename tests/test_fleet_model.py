"""Stateful fuzzing of several entry VMs against simple oracles."""

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
MAX_DRAIN_NOTICE_MS = 5000
CAP_WINDOW_MS = 1000
SETTLING_MS = 12_000
MAX_POISON_CRASHES = 2
POISON = 'poison'

vm_names = st.sampled_from(VMS)
services = st.sampled_from(('read', 'load'))
numbers = st.integers(min_value=0, max_value=30)


def is_platform_up(model):
    """Return whether operators can change anything."""
    return not model.fleet.platform.is_down


class FleetModel(RuleBasedStateMachine):
    """Entry VMs under load, cuts, pauses, deaths and platform outages."""

    @initialize(
        seed=st.integers(min_value=0, max_value=1000),
        cap=st.sampled_from((0, 1, 3, 8)),
    )
    def start(self, seed, cap):
        """Start two zones with two entry VMs each, perhaps with a shift."""
        self.fleet = Fleet(seed=seed)
        self.disturbed_ms = dict.fromkeys(NODES, 0)
        self.drain_known_ms = {}
        self.revisions = {}
        self.caps = {}
        self.checked_dispatches = len(self.fleet.dispatches)
        self.is_always_connected = True
        if cap:
            self.shift('north-1-a', cap)
            self.fleet.advance(SETTLING_MS)

    def record_disturbance(self, *names):
        """Note that VMs may lag from now on."""
        for name in names:
            self.disturbed_ms[name] = self.fleet.clock.now_ms()
        self.is_always_connected = False

    def pick_attempt(self, number):
        """Return one of the running attempts."""
        attempts = self.fleet.attempts
        return attempts[number % len(attempts)] if attempts else None

    @rule(vm=vm_names, service=services, count=st.integers(1, 4))
    def read(self, vm, service, count):
        """Callers send requests that may be repeated or not."""
        if vm in self.fleet.vms:
            for _ in range(count):
                method = 'GET' if service == 'read' else 'POST'
                self.fleet.send_request(vm, service, method=method)

    @rule(vm=vm_names, rounds=st.integers(5, 20), count=st.integers(1, 4))
    def rush(self, vm, rounds, count):
        """Callers keep an entry VM busy while upstreams answer."""
        for _ in range(rounds):
            self.read(vm, 'read', count)
            self.advance(1)
            for attempt in list(self.fleet.attempts):
                if attempt.request.service == 'read':
                    self.fleet.complete(attempt)

    @rule(
        sleeper=st.sampled_from(VMS[:2]),
        steps=st.sampled_from((5, 40, 60, 150)),
    )
    def oversleep(self, sleeper, steps):
        """A VM pauses while its neighbour goes on, then acts at once."""
        other = VMS[1 - VMS.index(sleeper)]
        self.pause(sleeper)
        self.advance(steps)
        self.rush(other, 10, 3)
        self.wake()
        self.rush(sleeper, 4, 3)

    @rule(vm=vm_names, key=st.sampled_from('kl'))
    def book(self, vm, key):
        """A caller sends a request that must run once, or sends it again."""
        if vm in self.fleet.vms:
            self.fleet.send_request(
                vm,
                'book',
                method='POST',
                fingerprint=f'book-{key}',
                idempotency_key=key,
            )

    @rule(vm=vm_names)
    def poison(self, vm):
        """A caller sends a request that crashes the upstream that runs it."""
        if vm not in self.fleet.vms:
            return
        self.fleet.send_request(vm, 'read', fingerprint=POISON)
        while True:
            running = [
                each
                for each in self.fleet.attempts
                if each.request.fingerprint == POISON
            ]
            if not running:
                break
            self.fleet.crashes[POISON] += 1
            self.fleet.crash_upstream(running[0].upstream)
        if self.is_always_connected:
            self.fleet.exchange_all()

    @rule(vm=vm_names, number=numbers)
    def show_old_configuration(self, vm, number):
        """A watch repeats itself, or a peer that lags answers late."""
        history = self.fleet.history
        old = history[number % len(history)]
        self.fleet.deliver_event(vm, ConfigurationReceived(old))

    @rule(number=numbers)
    def answer(self, number):
        """An upstream answers."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.complete(attempt)

    @rule(number=numbers)
    def refuse(self, number):
        """An upstream refuses before it starts."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.refuse(attempt)

    @rule(number=numbers, reason=st.sampled_from(InterruptedReason))
    def break_off(self, number, reason):
        """A connection to an upstream breaks; the request may have run."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.execute(attempt)
            self.fleet.end_attempt(
                attempt, Interrupted(reason, can_resend=True)
            )

    @rule(number=numbers)
    def crash(self, number):
        """An upstream dies with all that it runs."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.crash_upstream(attempt.upstream)

    @rule()
    def restore(self):
        """All upstreams take connections again."""
        for upstream in list(self.fleet.down_upstreams):
            self.fleet.restore_upstream(upstream)

    @rule(steps=st.integers(1, 40))
    def advance(self, steps):
        """Time passes."""
        self.record_leaving()
        for _ in range(steps):
            for first, second in self.fleet.partitions:
                self.record_disturbance(first, second)
            for vm in self.fleet.vms.values():
                if vm.is_paused:
                    self.record_disturbance(vm.name)
            if self.fleet.platform.is_down:
                self.record_disturbance(*VMS)
            self.fleet.advance(STEP_MS)
            self.check_dispatches()
            self.record_leaving()

    @rule(vm=vm_names)
    def kill(self, vm):
        """An entry VM dies."""
        if vm in self.fleet.vms and len(self.fleet.vms) > 1:
            self.fleet.kill_vm(vm)
            self.record_disturbance(*VMS)

    @rule(vm=vm_names)
    def restart(self, vm):
        """A dead entry VM starts again, knowing nothing."""
        if vm in self.fleet.vms:
            return
        known = [
            record.revision
            for peer in self.fleet.vms.values()
            if not peer.is_paused
            and not self.fleet.is_partitioned(vm, peer.name)
            for record in peer.core.state.members.records()
            if record.vm.name == vm
        ]
        self.fleet.start_vm(vm)
        self.record_disturbance(vm)
        self.revisions[vm] = max(known, default=0)

    @rule(vm=vm_names)
    def pause(self, vm):
        """An entry VM stops noticing anything."""
        if vm in self.fleet.vms:
            self.fleet.pause(vm)
            self.record_disturbance(vm)

    @rule()
    def wake(self):
        """Paused entry VMs go on."""
        for vm in list(self.fleet.vms.values()):
            if vm.is_paused:
                self.record_disturbance(vm.name)
                self.fleet.resume(vm.name)

    @rule(first=vm_names, second=st.sampled_from(NODES))
    def cut(self, first, second):
        """Two VMs, or a VM and the platform, lose each other."""
        if first != second:
            self.fleet.partitions.add(frozenset((first, second)))
            self.record_disturbance(first, second)

    @rule()
    def heal(self):
        """All can reach each other again."""
        for pair in self.fleet.partitions:
            self.record_disturbance(*pair)
        self.fleet.partitions.clear()

    @rule(is_down=st.booleans())
    def outage(self, is_down):
        """The platform goes down or comes back."""
        self.fleet.platform.is_down = is_down
        self.record_disturbance(*VMS)

    @rule()
    def lose_answer(self):
        """The answer to the next write is lost."""
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
        self.plan_and_confirm(vm, intent)

    @precondition(is_platform_up)
    @rule(vm=vm_names, cap=st.sampled_from((1, 2, 3, 7)))
    def shift(self, vm, cap):
        """An operator moves traffic from north to south."""
        intent = ShiftIntent('read', 'north', 'south', cap, 100)
        name = self.plan_and_confirm(vm, intent)
        if name:
            self.caps[name] = cap

    def plan_and_confirm(self, vm, intent):
        """Plan and confirm, as an entry VM that is up does."""
        fleet = self.fleet
        if vm not in fleet.vms or fleet.vms[vm].is_paused:
            return None
        name = f'plan-{fleet.configuration.revision}'
        try:
            plan = Planner(fleet.configuration, fleet.fleet_view(vm)).plan(
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
        """Note when the first entry VM knew that an upstream is leaving."""
        now_ms = self.fleet.clock.now_ms()
        for vm in self.fleet.vms.values():
            if vm.is_paused:
                continue
            for drain in vm.core.state.active_config.configuration.drains:
                self.drain_known_ms.setdefault(drain.target, now_ms)

    def check_dispatches(self):
        """Leaving upstreams get no new work once all could know."""
        new = self.fleet.dispatches[self.checked_dispatches :]
        self.checked_dispatches = len(self.fleet.dispatches)
        for at_ms, vm, upstream in new:
            known_ms = self.drain_known_ms.get(upstream.name)
            disturbed_ms = self.disturbed_ms[vm]
            if known_ms is None or at_ms - disturbed_ms < MAX_DRAIN_NOTICE_MS:
                continue
            assert at_ms - known_ms < MAX_DRAIN_NOTICE_MS, (vm, upstream.name)

    @invariant()
    def shift_within_cap(self):
        """No window of one second holds more moved requests than the cap."""
        for name, cap in self.caps.items():
            times = [
                at_ms
                for shift, at_ms in self.fleet.moved_requests
                if shift == name
            ]
            for at_ms in times:
                window = [
                    each
                    for each in times
                    if at_ms <= each < at_ms + CAP_WINDOW_MS
                ]
                assert len(window) <= cap, (name, cap)

    @invariant()
    def runs_once(self):
        """No idempotency key ran twice."""
        assert all(count <= 1 for count in self.fleet.executions.values())

    @invariant()
    def grants_within_room(self):
        """Grants to other zones sum to no more than an upstream's slots."""
        for upstream in self.fleet.vm_list.values():
            if not upstream.service:
                continue
            lent = sum(
                vm.core.state.borrowed_grants.borrowed_slots(upstream.name)
                for vm in self.fleet.vms.values()
                if vm.core.state.identity.zone != upstream.zone
            )
            assert lent <= upstream.slots

    @invariant()
    def granted_room_is_there_when_settled(self):
        """Without recent disturbance no granted work finds a full upstream.

        Within a zone a VM may try a slot that its neighbour owns, so there
        the upstream itself refuses what is too much.
        """
        settled_ms = max(self.disturbed_ms.values()) + SETTLING_MS
        late = [
            each
            for each in self.fleet.other_zone_refusals
            if each[0] > settled_ms
        ]
        assert not late

    @invariant()
    def revisions_rise(self):
        """No VM puts a lower revision in force, restarts included."""
        for vm in self.fleet.vms.values():
            revision = vm.core.state.active_config.revision
            if not revision:
                continue
            assert revision >= self.revisions.get(vm.name, 0)
            self.revisions[vm.name] = revision

    @invariant()
    def poison_is_contained(self):
        """While VMs reach each other, a poison request crashes two at most."""
        if self.is_always_connected:
            assert self.fleet.crashes[POISON] <= MAX_POISON_CRASHES

    @invariant()
    def deadlines_end_waiting(self):
        """No request waits past its deadline at a VM that is awake."""
        now_ms = self.fleet.clock.now_ms()
        for vm in self.fleet.vms.values():
            if vm.is_paused:
                continue
            for queue in vm.core.state.queues.values():
                for pending in queue:
                    assert pending.deadline_ms > now_ms - STEP_MS

    @invariant()
    def nothing_breached(self):
        """The program's own invariants hold."""
        assert not self.fleet.breached_invariants()


TestFleetModel = FleetModel.TestCase
