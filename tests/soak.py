"""A long randomised run of real servers under faults.

Run with ``make soak SEED=n MINUTES=m``. Entry VMs, stand-in platform and
stand-in upstreams run on loopback; callers and operators use them while faults
come at random. It fails when an invariant of the program is breached, or when
callers were told something that the upstreams do not confirm.
"""

import argparse
import asyncio
import collections
import hashlib
import json
import random
import sys
import threading
import time

import attrs
import urllib3

from catkindrift.demo import DEMO_TOKEN, LocalDeployment, sample_deployment
from catkindrift.server import EntryVm

CALLERS = 8
FAULT_SECONDS = 1.5
OPERATOR_SECONDS = 6
TIMEOUT_SECONDS = 20
PAUSE_RANGE = (0.5, 6)


@attrs.define(eq=False)
class Tally:
    """Counts of what was done and seen, shared by caller threads."""

    operations: collections.Counter = attrs.field(factory=collections.Counter)
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    wrong: list = attrs.field(factory=list)
    checked: collections.Counter = attrs.field(factory=collections.Counter)
    breached: collections.Counter = attrs.field(factory=collections.Counter)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def count(self, what):
        """Count one operation."""
        with self.lock:
            self.operations[what] += 1

    def add_invariants(self, vm: EntryVm):
        """Take over the counters of an entry VM that ends."""
        invariants = vm.core.state.invariants
        self.checked.update(invariants.checked)
        self.breached.update(invariants.breached)


class Caller(threading.Thread):
    """Sends requests and compares answers with what was sent."""

    def __init__(self, soak, number):
        """Prepare a caller with its own random numbers."""
        super().__init__(daemon=True)
        self.soak = soak
        self.rng = random.Random(f'{soak.seed}/caller/{number}')
        self.number = number
        self.sent = 0
        self.mix = (
            self.tariffs,
            self.tariffs,
            self.tariffs,
            self.reservations,
            self.surveys,
        )
        self.http = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_SECONDS,
        )

    def run(self):
        """Send requests until the run ends."""
        while not self.soak.is_over.is_set():
            self.sent += 1
            send = self.rng.choice(self.mix)
            try:
                send()
            except urllib3.exceptions.HTTPError:
                self.soak.tally.count(f'{send.__name__} broken')
            time.sleep(self.rng.uniform(0, 0.02))

    def url(self, service):
        """Return the address of a service at a random entry VM."""
        listen = self.rng.choice(self.soak.listens)
        return f'http://{listen.callers}/services/{service}'

    def tariffs(self):
        """Read something; the answer has to be about this path."""
        path = f'/{self.number}/{self.sent}'
        answer = self.http.request('GET', self.url('tariffs') + path)
        self.compare('tariffs', answer, path, b'')

    def surveys(self):
        """Upload something; its digest has to come back."""
        path = f'/{self.number}/{self.sent}'
        body = self.rng.randbytes(self.rng.randint(1, 2_000_000))
        answer = self.http.request(
            'POST', self.url('surveys') + path, body=body
        )
        self.compare('surveys', answer, path, body)

    def reservations(self):
        """Reserve once, sending the same key through several VMs."""
        key = f'{self.number}-{self.sent}'
        path = f'/{key}'
        body = key.encode()
        for _ in range(self.rng.randint(1, 3)):
            try:
                answer = self.http.request(
                    'POST',
                    self.url('reservations') + path,
                    body=body,
                    headers={'Idempotency-Key': key},
                )
            except urllib3.exceptions.HTTPError:
                self.soak.tally.count('reservations broken')
                continue
            self.compare('reservations', answer, path, body)

    def compare(self, kind, answer, path, body):
        """Check an answer against the request and the upstreams' records."""
        tally = self.soak.tally
        tally.count(f'{kind} {answer.status}')
        if answer.status == 200:
            found = json.loads(answer.data)
            expected = (path, len(body), hashlib.sha256(body).hexdigest())
            if (found['path'], found['bytes'], found['sha256']) != expected:
                tally.wrong.append(f'{kind}: answer of another request')
            return
        problem = json.loads(answer.data)
        is_told_not_run = problem.get('outcome') == 'not_run'
        # A key that was sent before may have run then.
        if kind != 'reservations' and is_told_not_run and self.soak.runs(path):
            tally.wrong.append(f'{kind}: {path} ran, told not run')


class Soak:
    """One run."""

    def __init__(self, seed, minutes):
        """Prepare a run."""
        self.seed = seed
        self.seconds = minutes * 60
        self.rng = random.Random(f'{seed}/faults')
        self.tally = Tally()
        self.is_over = threading.Event()
        self.local = LocalDeployment(sample_deployment(), work_ms=5)
        self.http = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_SECONDS,
        )
        self.listens = []

    def runs(self, path):
        """Return how often upstreams ran a path."""
        return sum(
            upstream.requests_by_path[path]
            for upstream in self.local.upstreams.values()
        )

    async def run(self):
        """Run callers, operators and faults, and print what was seen."""
        await self.local.start()
        self.listens = [each.listen for each in self.local.settings.values()]
        callers = [Caller(self, number) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        until = time.monotonic() + self.seconds
        operator = asyncio.create_task(self.operate())
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0, 2 * FAULT_SECONDS))
            await self.cause_fault()
        self.is_over.set()
        operator.cancel()
        self.local.faults.is_down = False
        for caller in callers:
            while caller.is_alive():
                await asyncio.sleep(0.1)
        for vm in self.local.entry_vms.values():
            self.tally.add_invariants(vm)
        self.check_reservations()
        await self.local.stop()

    def check_reservations(self):
        """No reservation ran twice anywhere."""
        runs = collections.Counter()
        for name, upstream in self.local.upstreams.items():
            if name.startswith('reservations'):
                runs.update(upstream.requests_by_path)
        self.tally.wrong.extend(
            f'reservation {path} ran {count} times'
            for path, count in runs.items()
            if count > 1
        )

    async def cause_fault(self):
        """Cause one fault and end it again."""
        faults = (
            self.outage,
            self.lose_answers,
            self.slow_platform,
            self.crash_entry_vm,
            self.stop_entry_vm,
            self.freeze_loop,
            self.upstream_leaves,
            self.cut_entry_vm,
        )
        fault = self.rng.choice(faults)
        self.tally.faults[fault.__name__] += 1
        await fault()

    async def outage(self):
        """The platform is down for some seconds."""
        self.local.faults.is_down = True
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        self.local.faults.is_down = False

    async def lose_answers(self):
        """Answers to writes are lost."""
        self.local.faults.lost_answers += self.rng.randint(1, 3)

    async def slow_platform(self):
        """The platform answers slowly."""
        self.local.faults.slow_ms = self.rng.randint(50, 1000)
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        self.local.faults.slow_ms = 0

    async def crash_entry_vm(self):
        """An entry VM dies and is replaced."""
        name = self.rng.choice(list(self.local.entry_vms))
        self.tally.add_invariants(self.local.entry_vms[name])
        await self.local.kill_entry_vm(name)
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        await self.local.start_entry_vm(name)

    async def stop_entry_vm(self):
        """An entry VM is stopped as planned and replaced."""
        name = self.rng.choice(list(self.local.entry_vms))
        vm = self.local.entry_vms.pop(name)
        await vm.stop()
        self.tally.add_invariants(vm)
        await self.local.start_entry_vm(name)

    async def freeze_loop(self):
        """All entry VMs pause, as on a machine that hangs."""
        time.sleep(self.rng.uniform(*PAUSE_RANGE))

    async def upstream_leaves(self):
        """An upstream says that it is leaving, and comes back."""
        upstream = self.rng.choice(list(self.local.upstreams.values()))
        upstream.is_leaving = True
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        upstream.is_leaving = False

    async def cut_entry_vm(self):
        """An entry VM cannot call the others or the platform for a while."""
        parts = self.rng.choice(list(self.local.entry_vms.values()))._parts
        url = parts.http_platform._url
        parts.http_platform._url = 'http://127.0.0.1:1'
        parts.peers._secret = 'cut'
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        parts.http_platform._url = url
        parts.peers._secret = ''

    async def operate(self):
        """State intents and confirm the plans."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * OPERATOR_SECONDS))
            intent = self.rng.choice(
                (self.shift_body, self.drain_body, self.bring_back_body),
            )
            await loop.run_in_executor(None, self.state_intent, intent())

    def state_intent(self, body):
        """State an intent and confirm the plan that answers it."""
        listen = self.rng.choice(self.listens)
        url = f'http://{listen.operators}/v1'
        plan = self.operator_call(f'{url}/intents', body)
        if plan is not None:
            self.operator_call(f'{url}/plans/{plan["name"]}/confirm', None)

    def operator_call(self, url, body):
        """Call the operator API and return its document if it succeeded."""
        try:
            answer = self.http.request(
                'POST',
                url,
                body=json.dumps(body).encode() if body else b'',
                headers={'Authorization': f'Bearer {DEMO_TOKEN}'},
            )
        except urllib3.exceptions.HTTPError:
            self.tally.count('operator broken')
            return None
        self.tally.count(f'operator {answer.status}')
        return json.loads(answer.data) if answer.status == 200 else None

    def shift_body(self):
        """Return a shift between the regions."""
        return {
            'kind': 'shift',
            'service': 'tariffs',
            'source_region': 'asturias',
            'target_region': 'cantabria',
            'cap_per_second': self.rng.randint(1, 30),
            'percent': self.rng.randint(20, 100),
        }

    def drain_body(self):
        """Return a drain of one upstream."""
        target = self.rng.choice(('tariffs-1', 'tariffs-2', 'surveys-1'))
        return {'kind': 'drain', 'drain': {'scope': 'vm', 'target': target}}

    def bring_back_body(self):
        """Return an intent that ends a drain or a shift."""
        vm = next(iter(self.local.entry_vms.values()))
        configuration = vm.core.state.active_config.configuration
        targets = [drain.target for drain in configuration.drains]
        targets.extend(shift.name for shift in configuration.shifts)
        target = self.rng.choice(targets) if targets else 'nothing'
        return {'kind': 'bringback', 'target': target}

    def report(self):
        """Print the run and return the exit code."""
        tally = self.tally
        sys.stdout.write(f'seed {self.seed}, {self.seconds:.0f} s\n')
        print_counts('operations', tally.operations)
        print_counts('faults', tally.faults)
        print_counts('invariants checked', tally.checked)
        print_counts('invariants BREACHED', tally.breached)
        print_counts('WRONG', collections.Counter(tally.wrong))
        return int(bool(tally.wrong or tally.breached.total()))


def print_counts(title, counts):
    """Print a total and its parts."""
    sys.stdout.write(f'{title}: {counts.total()}\n')
    for name, count in sorted(counts.items()):
        sys.stdout.write(f'  {name}: {count}\n')


def main():
    """Run as the arguments say."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    args = parser.parse_args()
    soak = Soak(args.seed, args.minutes)
    asyncio.run(soak.run())
    return soak.report()


if __name__ == '__main__':
    sys.exit(main())
