"""Discrete-event simulation of entry VMs under load."""

import heapq
import itertools
import random

import attrs

from catkindrift.core import Ticked
from catkindrift.retries import Answered, NotStarted, NotStartedReason
from tests.fakes import EXCHANGE_MS, FakeAttempt, Fleet

TICK_MS = 20


@attrs.define(eq=False)
class Flow(Fleet):
    """Fleet whose upstreams have service times and limited slots."""

    work_ms: dict = attrs.field(factory=dict)
    slowdown_factors: dict = attrs.field(factory=dict)
    failing_upstreams: set = attrs.field(factory=set)
    running_counts: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    event_sequence: object = attrs.field(factory=itertools.count)
    arrived_ms: dict = attrs.field(factory=dict)
    finished: list = attrs.field(factory=list)
    ran_at: dict = attrs.field(factory=dict)
    rejected_count: int = 0
    attempt_count: int = 0
    rng: object = attrs.field(factory=lambda: random.Random(7))

    def schedule(self, at_ms, action):
        """Schedule an action at a virtual time."""
        heapq.heappush(self.events, (at_ms, next(self.event_sequence), action))

    def run_until(self, until_ms):
        """Run scheduled actions until a virtual time; drop later ones."""
        self.schedule(self.clock.now_ms(), self._tick)
        self.schedule(self.clock.now_ms(), self._exchange)
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance(max(at_ms - self.clock.now_ms(), 0))
            action()
        self.events = []

    def generate_load(self, vm, service, per_second, until_ms, **fields):
        """Send requests as a Poisson process until a virtual time.

        Args:
            vm: Name of the receiving entry VM, or a function that returns it.
            service: Name of the requested service.
            per_second: Mean request rate.
            until_ms: Virtual time of the end.
            **fields: Further fields of the requests.
        """
        pause_ms = self.rng.expovariate(per_second / 1000)
        at_ms = self.clock.now_ms() + pause_ms
        if at_ms < until_ms:
            self.schedule(
                round(at_ms),
                lambda: self._send_next(
                    vm,
                    service,
                    per_second,
                    until_ms,
                    fields,
                ),
            )

    def _send_next(self, vm, service, per_second, until_ms, fields):
        target = vm() if callable(vm) else vm
        if target in self.vms:
            self.arrived_ms[self.next_id] = self.clock.now_ms()
            self.arrive(target, service, **fields)
        self.generate_load(vm, service, per_second, until_ms, **fields)

    def _tick(self):
        for name in list(self.vms):
            self.post(name, Ticked())
        self.schedule(self.clock.now_ms() + TICK_MS, self._tick)

    def _exchange(self):
        self.exchange_all()
        self.schedule(self.clock.now_ms() + EXCHANGE_MS, self._exchange)

    def _dispatch(self, vm, effect):
        request = self.requests[effect.request_id]
        name = effect.upstream.name
        now_ms = self.clock.now_ms()
        self.dispatches.append((now_ms, vm.name, effect.upstream))
        self.attempt_count += 1
        attempt = FakeAttempt(vm.name, request, name)
        self.attempts.append(attempt)
        if name in self.down_upstreams or name in self.failing_upstreams:
            reason = NotStartedReason.NOT_CONNECTED
            self.end(attempt, NotStarted(reason, can_resend=True))
            return
        running = self.running_counts.get(name, 0)
        if running >= effect.upstream.slots:
            self.rejected_count += 1
            reason = NotStartedReason.REFUSED_BY_UPSTREAM
            self.end(attempt, NotStarted(reason, can_resend=True))
            return
        self.running_counts[name] = running + 1
        self.ran_at[request.request_id] = name
        mean_ms = self.work_ms[request.service] * self.slowdown_factors.get(
            name, 1
        )
        work_ms = max(self.rng.gammavariate(4, mean_ms / 4), 1)
        self.schedule(
            round(now_ms + work_ms),
            lambda: self._finish(attempt, work_ms),
        )

    def _finish(self, attempt, work_ms):
        self.running_counts[attempt.upstream] -= 1
        if attempt not in self.attempts:
            return
        request_id = attempt.request.request_id
        self.answers[request_id] = 'answered'
        waited_ms = self.clock.now_ms() - self.arrived_ms.get(
            request_id,
            self.clock.now_ms(),
        )
        self.finished.append((request_id, attempt.request.service, waited_ms))
        self.end(attempt, Answered(200, work_ms))


def percentile(values, part):
    """Return the value below which the given fraction of values lies.

    Returns NaN if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]
