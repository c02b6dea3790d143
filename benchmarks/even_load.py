"""Evenness of load over upstreams, replayed in virtual time.

The upstreams are those of furrow's large service (docs/design/hard-load.md).
Rate, working times and popularity of objects are assumptions: with them, the
choice of `today` reaches about the imbalance that was measured.
"""

import argparse
import heapq
import itertools
import random
import statistics
from collections import Counter, OrderedDict

import attrs

from benchmarks.even_load_choices import CHOICES
from benchmarks.report import show
from catkindrift.clock import ManualClock
from catkindrift.steering import (
    LoadReport,
    UpstreamRegistry,
)
from tests.steering_samples import sample_upstream
from tests.uneven_zones import (
    OBJECTS,
    REGIONS,
    REMEMBERED,
    SLOTS,
    UPSTREAMS,
)

POPULARITY_EXPONENT = 0.25
PER_SECOND = 1400
COLD_MS = 300
WARM_MS = 90
OBJECTIVE_MS = 500
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SPEED_PERIOD_MS = 600
# Time for which the pool uses idle connections by default.
IDLE_MS = 6000
SIZES = (11, 87, 129, 1000)


@attrs.define(eq=False)
class ModelUpstream:
    """One upstream: slots, queue and the objects that it has cached."""

    rng: random.Random
    running: int = 0
    queue: list = attrs.field(factory=list)
    cached: OrderedDict = attrs.field(factory=OrderedDict)
    requests: int = 0
    cold_runs: int = 0
    _speed_at: int = -1
    _speed: float = 1

    def speed(self, now_ms):
        """Return the factor by which the host is slow, 1 if it is not."""
        period = now_ms // SPEED_PERIOD_MS
        if period != self._speed_at:
            self._speed_at = period
            is_slow = self.rng.random() < SLOW_SHARE
            self._speed = SLOW_FACTOR if is_slow else 1
        return self._speed

    def work_ms(self, key, now_ms):
        """Return the time that a request takes, and cache its object."""
        is_cached = self.cached.pop(key, False)
        self.cached[key] = True
        if len(self.cached) > REMEMBERED:
            self.cached.popitem(last=False)
        self.cold_runs += not is_cached
        usual_ms = WARM_MS if is_cached else COLD_MS
        return usual_ms * self.speed(now_ms)


class Vm:
    """One entry VM with its own view of all upstreams."""

    def __init__(self, name, zone, clock, choice_name):
        self.zone = zone
        self.registry = UpstreamRegistry(clock)
        for each, count in UPSTREAMS.items():
            for index in range(count):
                self.registry.put(_upstream(each, index), 0)
        build = CHOICES[choice_name]
        self.clock = clock
        self.idle = {}
        self.connections = 0
        self.choose, self.latency = build(
            name,
            zone,
            clock,
            self.registry,
            REGIONS,
            self.has_idle,
            REMEMBERED,
        )

    def has_idle(self, upstream):
        """Return whether an idle connection can be used again."""
        idle = self.idle.get(upstream.id)
        return bool(idle) and self.clock.now_ms() - idle[-1] <= IDLE_MS

    def connect(self, upstream_id, now_ms):
        """Take an idle connection, or count a new one."""
        idle = self.idle.setdefault(upstream_id, [])
        while idle and now_ms - idle[-1] > IDLE_MS:
            idle.pop()
        if idle:
            idle.pop()
        else:
            self.connections += 1


def _upstream(zone, index):
    upstream = sample_upstream(f'i-{zone}-{index}')
    return attrs.evolve(upstream, zone=zone, region=REGIONS[zone], slots=SLOTS)


class Replay:
    """Replays requests of one seed against one kind of choice."""

    def __init__(self, choice_name, vm_count, seed, seconds=30, warm_up_s=2):
        self.clock = ManualClock(1_000_000)
        self.rng = random.Random(seed)
        zones = itertools.cycle(REGIONS)
        self.vms = [
            Vm(f'vm-{index}', next(zones), self.clock, choice_name)
            for index in range(vm_count)
        ]
        self.upstreams = {
            state.upstream.id: ModelUpstream(random.Random(f'{seed}{index}'))
            for index, state in enumerate(self.vms[0].registry.states)
        }
        self.until_ms = 1_000_000 + seconds * 1000
        self.count_from_ms = 1_000_000 + warm_up_s * 1000
        self.events = []
        self.ids = itertools.count()
        self.tally = Counter()

    def run(self):
        """Return the row of the table."""
        self._later(0, self._arrive)
        while self.events:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            if at_ms > self.until_ms:
                break
            self.clock.advance(int(at_ms) - self.clock.now_ms())
            action(*arguments)
        return self._row()

    def _later(self, delay_ms, action, *arguments):
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.ids), action, arguments))

    def _arrive(self):
        rate = PER_SECOND / 1000
        gap_ms = self.rng.expovariate(rate)
        self._carry = getattr(self, '_carry', 0) + gap_ms
        whole_ms = int(self._carry)
        self._carry -= whole_ms
        self._later(whole_ms, self._arrive)
        key = self.rng.choices(OBJECTS, cum_weights=CUMULATIVE)[0]
        self._send(self.rng.choice(self.vms), key)

    def _count(self, name):
        if self.clock.now_ms() >= self.count_from_ms:
            self.tally[name] += 1

    def _send(self, vm, key):
        now_ms = self.clock.now_ms()
        self._count('requests')
        state = vm.choose(key)
        if state is None:
            self._count('refused')
            return
        upstream = state.upstream
        if upstream.zone != vm.zone:
            self._count('left zone')
        if upstream.region != REGIONS[vm.zone]:
            self._count('left region')
        before = vm.connections
        vm.connect(upstream.id, now_ms)
        if vm.connections > before:
            self._count('connections')
        token = next(self.ids)
        state.record_request(token, key, now_ms)
        model = self.upstreams[upstream.id]
        if now_ms >= self.count_from_ms:
            model.requests += 1
        job = (vm, state, token, key, now_ms)
        if model.running < SLOTS:
            self._start(model, job)
        else:
            model.queue.append(job)

    def _start(self, model, job):
        model.running += 1
        cold_before = model.cold_runs
        work_ms = model.work_ms(job[3], self.clock.now_ms())
        if model.cold_runs > cold_before:
            self._count('cold')
        self._later(round(work_ms), self._finish, model, job)

    def _finish(self, model, job):
        vm, state, token, _, began_ms = job
        now_ms = self.clock.now_ms()
        took_ms = now_ms - began_ms + _round_trip_ms(vm, state)
        report = LoadReport(model.running, len(model.queue), SLOTS)
        state.record_load(report, now_ms)
        state.host_speed.record(round(model.speed(now_ms) * 100), now_ms)
        state.record_end(token)
        latency = vm.latency('tariffs')
        state.record_response(now_ms, took_ms, latency.average_ms)
        latency.add_sample(took_ms)
        vm.idle.setdefault(state.upstream.id, []).append(now_ms)
        if began_ms >= self.count_from_ms:
            self.tally['ended'] += 1
            self.tally['in time'] += took_ms <= OBJECTIVE_MS
        model.running -= 1
        if model.queue:
            self._start(model, model.queue.pop(0))

    def _row(self):
        counts = [each.requests for each in self.upstreams.values()]
        total = max(1, self.tally['requests'])
        return {
            'largest / mean': max(counts) / max(1, statistics.mean(counts)),
            'in time': self.tally['in time'] / max(1, self.tally['ended']),
            'refused': self.tally['refused'] / total,
            'cold': self.tally['cold'] / total,
            'left zone': self.tally['left zone'] / total,
            'left region': self.tally['left region'] / total,
            'connections': self.tally['connections'] / total,
        }


def _round_trip_ms(vm, state):
    return 2 if state.upstream.region == REGIONS[vm.zone] else 40


CUMULATIVE = tuple(
    itertools.accumulate(
        (index + 1) ** -POPULARITY_EXPONENT for index in range(len(OBJECTS))
    )
)


def main():
    """Replay all choices at all sizes and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--vms', type=int, nargs='*', default=SIZES)
    parser.add_argument('--choices', nargs='*', default=list(CHOICES))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=int, default=30)
    chosen = parser.parse_args()
    show(
        'even_load',
        [
            {
                'vms': vms,
                'choice': name,
                **Replay(name, vms, chosen.seed, chosen.seconds).run(),
            }
            for vms in chosen.vms
            for name in chosen.choices
        ],
    )


if __name__ == '__main__':
    main()
