"""Stateful property test of several entry VMs.

Hypothesis runs random sequences of requests, faults and operator actions on
an in-memory fleet and checks the safety invariants after each step.
"""

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
    """Return whether the platform accepts configuration changes."""
    return not model.fleet.platform.is_down


class FleetModel(RuleBasedStateMachine):
    """Entry VMs under load, partitions, pauses, crashes and outages."""

    @initialize(
        seed=st.integers(min_value=0, max_value=1000),
        cap=st.sampled_from((0, 1, 3, 8)),
    )
    def start(self, seed, cap):
        """Start two zones with two entry VMs each; a non-zero cap shifts."""
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
        """Record that nodes may have stale state from now on."""
        for name in names:
            self.disturbed_ms[name] = self.fleet.clock.now_ms()
        self.is_always_connected = False

    def pick_attempt(self, number):
        """Return an attempt in flight, or None if there is none."""
        attempts = self.fleet.attempts
        return attempts[number % len(attempts)] if attempts else None

    @rule(vm=vm_names, service=services, count=st.integers(1, 4))
    def read(self, vm, service, count):
        """Callers send idempotent reads or non-idempotent uploads."""
        if vm in self.fleet.vms:
            for _ in range(count):
                method = 'GET' if service == 'read' else 'POST'
                self.fleet.send_request(vm, service, method=method)

    @rule(vm=vm_names, rounds=st.integers(5, 20), count=st.integers(1, 4))
    def rush(self, vm, rounds, count):
        """Callers load an entry VM while upstreams complete its reads."""
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
        """A VM pauses while its zone peer takes load, then gets load too."""
        other = VMS[1 - VMS.index(sleeper)]
        self.pause(sleeper)
        self.advance(steps)
        self.rush(other, 10, 3)
        self.wake()
        self.rush(sleeper, 4, 3)

    @rule(vm=vm_names, key=st.sampled_from('kl'))
    def book(self, vm, key):
        """A caller sends or resends a request that must run at most once."""
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
        """A caller sends a request that crashes every upstream that runs it."""
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
        """A repeated watch or a lagging peer delivers an old revision."""
        history = self.fleet.history
        old = history[number % len(history)]
        self.fleet.deliver_event(vm, ConfigurationReceived(old))

    @rule(number=numbers)
    def answer(self, number):
        """An upstream completes a request."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.complete(attempt)

    @rule(number=numbers)
    def refuse(self, number):
        """An upstream refuses a request before it starts."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.refuse(attempt)

    @rule(number=numbers, reason=st.sampled_from(InterruptedReason))
    def break_off(self, number, reason):
        """A connection to an upstream breaks after the request ran."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.execute(attempt)
            self.fleet.end_attempt(
                attempt, Interrupted(reason, can_resend=True)
            )

    @rule(number=numbers)
    def crash(self, number):
        """An upstream crashes and interrupts all its attempts."""
        attempt = self.pick_attempt(number)
        if attempt:
            self.fleet.crash_upstream(attempt.upstream)

    @rule()
    def restore(self):
        """All upstreams accept connections again."""
        for upstream in list(self.fleet.down_upstreams):
            self.fleet.restore_upstream(upstream)

    @rule(steps=st.integers(1, 40))
    def advance(self, steps):
        """Advance the clock and check the dispatches of each step."""
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
        """An entry VM crashes; the last one is kept."""
        if vm in self.fleet.vms and len(self.fleet.vms) > 1:
            self.fleet.kill_vm(vm)
            self.record_disturbance(*VMS)

    @rule(vm=vm_names)
    def restart(self, vm):
        """A crashed entry VM starts again with empty state.

        Its revision may fall only to the highest that a reachable peer
        remembers of it.
        """
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
        """An entry VM pauses and handles no events."""
        if vm in self.fleet.vms:
            self.fleet.pause(vm)
            self.record_disturbance(vm)

    @rule()
    def wake(self):
        """All paused entry VMs resume."""
        for vm in list(self.fleet.vms.values()):
            if vm.is_paused:
                self.record_disturbance(vm.name)
                self.fleet.resume(vm.name)

    @rule(first=vm_names, second=st.sampled_from(NODES))
    def cut(self, first, second):
        """A partition separates two VMs, or a VM from the platform."""
        if first != second:
            self.fleet.partitions.add(frozenset((first, second)))
            self.record_disturbance(first, second)

    @rule()
    def heal(self):
        """All partitions end."""
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
        self.plan_and_confirm(vm, intent)

    @precondition(is_platform_up)
    @rule(vm=vm_names, cap=st.sampled_from((1, 2, 3, 7)))
    def shift(self, vm, cap):
        """An operator shifts traffic from north to south."""
        intent = ShiftIntent('read', 'north', 'south', cap, 100)
        name = self.plan_and_confirm(vm, intent)
        if name:
            self.caps[name] = cap

    def plan_and_confirm(self, vm, intent):
        """Plan an intent at an entry VM, confirm it and return its name.

        Returns None if the VM is down or paused or the plan is rejected.
        """
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
        """Record when the first entry VM had each drain in force."""
        now_ms = self.fleet.clock.now_ms()
        for vm in self.fleet.vms.values():
            if vm.is_paused:
                continue
            for drain in vm.core.state.active_config.configuration.drains:
                self.drain_known_ms.setdefault(drain.target, now_ms)

    def check_dispatches(self):
        """Draining upstreams get no dispatch after the notice period.

        Entry VMs with a recent disturbance may still lag and are skipped.
        """
        new_dispatches = self.fleet.dispatches[self.checked_dispatches :]
        self.checked_dispatches = len(self.fleet.dispatches)
        for at_ms, vm, upstream in new_dispatches:
            known_ms = self.drain_known_ms.get(upstream.name)
            disturbed_ms = self.disturbed_ms[vm]
            if known_ms is None or at_ms - disturbed_ms < MAX_DRAIN_NOTICE_MS:
                continue
            assert at_ms - known_ms < MAX_DRAIN_NOTICE_MS, (vm, upstream.name)

    @invariant()
    def shift_within_cap(self):
        """A shift moves no more requests in any second than its cap."""
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
        """No request with an idempotency key ran twice."""
        assert all(count <= 1 for count in self.fleet.executions.values())

    @invariant()
    def grants_within_room(self):
        """Slots lent to other zones do not exceed the upstream's slots."""
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
        """Upstreams refuse no work from other zones once the fleet settled.

        Refusals within the zone are allowed: there an entry VM may try a
        slot that its peer owns, and the upstream refuses the excess.
        """
        settled_ms = max(self.disturbed_ms.values()) + SETTLING_MS
        settled_refusals = [
            each
            for each in self.fleet.other_zone_refusals
            if each[0] > settled_ms
        ]
        assert not settled_refusals

    @invariant()
    def revisions_rise(self):
        """No VM activates a lower revision, also not after a restart."""
        for vm in self.fleet.vms.values():
            revision = vm.core.state.active_config.revision
            if not revision:
                continue
            assert revision >= self.revisions.get(vm.name, 0)
            self.revisions[vm.name] = revision

    @invariant()
    def poison_is_contained(self):
        """Without disturbances a poison request crashes at most two upstreams.

        While entry VMs are disconnected they cannot share crash reports.
        """
        if self.is_always_connected:
            assert self.fleet.crashes[POISON] <= MAX_POISON_CRASHES

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
        """The invariants that the core itself checks hold."""
        assert not self.fleet.breached_invariants()


TestFleetModel = FleetModel.TestCase
