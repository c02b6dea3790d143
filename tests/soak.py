"""Long randomised run of real servers under injected faults.

Run with ``make soak SEED=n MINUTES=m``. Entry VMs, a fake platform and
fake upstreams run on loopback; callers and operators use them while random
faults are injected. The run fails when a core invariant is breached, or when
a response contradicts what the upstreams recorded.
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

CALLER_COUNT = 8
MEAN_FAULT_INTERVAL_S = 1.5
MEAN_OPERATOR_INTERVAL_S = 6
TIMEOUT_S = 20
FAULT_DURATION_RANGE_S = (0.5, 6)


@attrs.define(eq=False)
class Tally:
    """Counters of operations, faults and violations, shared by threads."""

    operations: collections.Counter = attrs.field(factory=collections.Counter)
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)
    invariants_checked: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    invariants_breached: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def count(self, operation):
        """Count one operation."""
        with self.lock:
            self.operations[operation] += 1

    def add_invariants(self, vm: EntryVm):
        """Add the invariant counters of an entry VM that has ended."""
        invariants = vm.core.state.invariants
        self.invariants_checked.update(invariants.checked)
        self.invariants_breached.update(invariants.breached)


class Caller(threading.Thread):
    """Thread that sends requests and checks the responses."""

    def __init__(self, soak, number):
        """Create a caller with a random generator of its own."""
        super().__init__(daemon=True)
        self.soak = soak
        self.rng = random.Random(f'{soak.seed}/caller/{number}')
        self.number = number
        self.sent = 0
        self.weighted_operations = (
            self.tariffs,
            self.tariffs,
            self.tariffs,
            self.reservations,
            self.surveys,
        )
        self.http = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_S,
        )

    def run(self):
        """Send requests until the run ends."""
        while not self.soak.is_over.is_set():
            self.sent += 1
            operation = self.rng.choice(self.weighted_operations)
            try:
                operation()
            except urllib3.exceptions.HTTPError:
                self.soak.tally.count(f'{operation.__name__} broken')
            time.sleep(self.rng.uniform(0, 0.02))

    def url(self, service):
        """Return the URL of a service at a random entry VM."""
        listen = self.rng.choice(self.soak.listen_addresses)
        return f'http://{listen.callers}/services/{service}'

    def tariffs(self):
        """Send a read; the response must echo its path."""
        path = f'/{self.number}/{self.sent}'
        response = self.http.request('GET', self.url('tariffs') + path)
        self.check_response('tariffs', response, path, b'')

    def surveys(self):
        """Upload random bytes; the response must carry their digest."""
        path = f'/{self.number}/{self.sent}'
        body = self.rng.randbytes(self.rng.randint(1, 2_000_000))
        response = self.http.request(
            'POST', self.url('surveys') + path, body=body
        )
        self.check_response('surveys', response, path, body)

    def reservations(self):
        """Send one reservation up to three times, to random entry VMs."""
        key = f'{self.number}-{self.sent}'
        path = f'/{key}'
        body = key.encode()
        for _ in range(self.rng.randint(1, 3)):
            try:
                response = self.http.request(
                    'POST',
                    self.url('reservations') + path,
                    body=body,
                    headers={'Idempotency-Key': key},
                )
            except urllib3.exceptions.HTTPError:
                self.soak.tally.count('reservations broken')
                continue
            self.check_response('reservations', response, path, body)

    def check_response(self, kind, response, path, body):
        """Check a response against the request and the upstreams' records."""
        tally = self.soak.tally
        tally.count(f'{kind} {response.status}')
        if response.status == 200:
            document = json.loads(response.data)
            expected = (path, len(body), hashlib.sha256(body).hexdigest())
            if (
                document['path'],
                document['bytes'],
                document['sha256'],
            ) != expected:
                tally.violations.append(
                    f'{kind}: response belongs to another request'
                )
            return
        problem = json.loads(response.data)
        is_reported_not_run = problem.get('outcome') == 'not_run'
        # An earlier send of the same key may have run.
        if (
            kind != 'reservations'
            and is_reported_not_run
            and self.soak.execution_count(path)
        ):
            tally.violations.append(
                f'{kind}: {path} ran but was reported as not run'
            )


class Soak:
    """A soak run: deployment, callers, operator and faults."""

    def __init__(self, seed, minutes):
        """Create a run with the given seed and length in minutes."""
        self.seed = seed
        self.seconds = minutes * 60
        self.rng = random.Random(f'{seed}/faults')
        self.tally = Tally()
        self.is_over = threading.Event()
        self.local = LocalDeployment(sample_deployment(), work_ms=5)
        self.http = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_S,
        )
        self.listen_addresses = []

    def execution_count(self, path):
        """Return how often the upstreams executed a path."""
        return sum(
            upstream.requests_by_path[path]
            for upstream in self.local.upstreams.values()
        )

    async def run(self):
        """Run callers, operator and faults, then check the results."""
        await self.local.start()
        self.listen_addresses = [
            each.listen for each in self.local.settings.values()
        ]
        callers = [Caller(self, number) for number in range(CALLER_COUNT)]
        for caller in callers:
            caller.start()
        deadline = time.monotonic() + self.seconds
        operator = asyncio.create_task(self.run_operator())
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_FAULT_INTERVAL_S))
            await self.inject_fault()
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
        """Record a violation for each reservation that ran twice."""
        runs = collections.Counter()
        for name, upstream in self.local.upstreams.items():
            if name.startswith('reservations'):
                runs.update(upstream.requests_by_path)
        self.tally.violations.extend(
            f'reservation {path} ran {count} times'
            for path, count in runs.items()
            if count > 1
        )

    async def inject_fault(self):
        """Inject one random fault and wait until it ends."""
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
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        self.local.faults.is_down = False

    async def lose_answers(self):
        """The responses to the next platform writes are lost."""
        self.local.faults.lost_answers += self.rng.randint(1, 3)

    async def slow_platform(self):
        """The platform responds slowly for some seconds."""
        self.local.faults.slow_ms = self.rng.randint(50, 1000)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        self.local.faults.slow_ms = 0

    async def crash_entry_vm(self):
        """An entry VM crashes and is replaced."""
        name = self.rng.choice(list(self.local.entry_vms))
        self.tally.add_invariants(self.local.entry_vms[name])
        await self.local.kill_entry_vm(name)
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        await self.local.start_entry_vm(name)

    async def stop_entry_vm(self):
        """An entry VM shuts down gracefully and is replaced."""
        name = self.rng.choice(list(self.local.entry_vms))
        vm = self.local.entry_vms.pop(name)
        await vm.stop()
        self.tally.add_invariants(vm)
        await self.local.start_entry_vm(name)

    async def freeze_loop(self):
        """The event loop blocks, which pauses all entry VMs at once."""
        time.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))

    async def upstream_leaves(self):
        """An upstream reports that it is leaving, and returns later."""
        upstream = self.rng.choice(list(self.local.upstreams.values()))
        upstream.is_leaving = True
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        upstream.is_leaving = False

    async def cut_entry_vm(self):
        """An entry VM cannot call its peers or the platform for a while."""
        parts = self.rng.choice(list(self.local.entry_vms.values()))._parts
        url = parts.http_platform._url
        parts.http_platform._url = 'http://127.0.0.1:1'
        parts.peers._secret = 'cut'
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_RANGE_S))
        parts.http_platform._url = url
        parts.peers._secret = ''

    async def run_operator(self):
        """Submit random intents and confirm their plans until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(
                self.rng.uniform(0, 2 * MEAN_OPERATOR_INTERVAL_S)
            )
            intent = self.rng.choice(
                (self.shift_body, self.drain_body, self.bring_back_body),
            )
            await loop.run_in_executor(None, self.plan_and_confirm, intent())

    def plan_and_confirm(self, body):
        """Submit an intent and confirm the plan that it returns."""
        listen = self.rng.choice(self.listen_addresses)
        url = f'http://{listen.operators}/v1'
        plan = self.operator_call(f'{url}/intents', body)
        if plan is not None:
            self.operator_call(f'{url}/plans/{plan["name"]}/confirm', None)

    def operator_call(self, url, body):
        """Call the operator API; return its document, or None on failure."""
        try:
            response = self.http.request(
                'POST',
                url,
                body=json.dumps(body).encode() if body else b'',
                headers={'Authorization': f'Bearer {DEMO_TOKEN}'},
            )
        except urllib3.exceptions.HTTPError:
            self.tally.count('operator broken')
            return None
        self.tally.count(f'operator {response.status}')
        return json.loads(response.data) if response.status == 200 else None

    def shift_body(self):
        """Return an intent that shifts traffic between the regions."""
        return {
            'kind': 'shift',
            'service': 'tariffs',
            'source_region': 'asturias',
            'target_region': 'cantabria',
            'cap_per_second': self.rng.randint(1, 30),
            'percent': self.rng.randint(20, 100),
        }

    def drain_body(self):
        """Return an intent that drains one upstream."""
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
        """Print the counters and return the exit code."""
        tally = self.tally
        sys.stdout.write(f'seed {self.seed}, {self.seconds:.0f} s\n')
        print_counts('operations', tally.operations)
        print_counts('faults', tally.faults)
        print_counts('invariants checked', tally.invariants_checked)
        print_counts('invariants BREACHED', tally.invariants_breached)
        print_counts('WRONG', collections.Counter(tally.violations))
        return int(bool(tally.violations or tally.invariants_breached.total()))


def print_counts(title, counts):
    """Print a total and the count of each name."""
    sys.stdout.write(f'{title}: {counts.total()}\n')
    for name, count in sorted(counts.items()):
        sys.stdout.write(f'  {name}: {count}\n')


def main():
    """Parse the command line, run the soak and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    args = parser.parse_args()
    soak = Soak(args.seed, args.minutes)
    asyncio.run(soak.run())
    return soak.report()


if __name__ == '__main__':
    sys.exit(main())
