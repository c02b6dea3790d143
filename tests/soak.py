"""A long randomised run of real servers under faults.

Run with ``make soak SEED=n MINUTES=m``. Entry VMs, a fake platform and fake
upstreams run on loopback; callers and operators use them under random faults.
The run fails if an invariant is breached, or if a response contradicts the
records of the upstreams.
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
    """Counts of operations, faults and errors, shared by caller threads."""

    operations: collections.Counter = attrs.field(factory=collections.Counter)
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    wrong: list = attrs.field(factory=list)
    checked: collections.Counter = attrs.field(factory=collections.Counter)
    breached: collections.Counter = attrs.field(factory=collections.Counter)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def count(self, operation):
        """Count one operation."""
        with self.lock:
            self.operations[operation] += 1

    def add_invariants(self, vm: EntryVm):
        """Add the invariant counters of an entry VM that ends."""
        invariants = vm.core.state.invariants
        self.checked.update(invariants.checked)
        self.breached.update(invariants.breached)


class Caller(threading.Thread):
    """Sends requests and checks that the responses belong to them."""

    def __init__(self, soak, number):
        """Create a caller with its own random numbers."""
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
        """Return the URL of a service at a random entry VM."""
        listen = self.rng.choice(self.soak.listens)
        return f'http://{listen.callers}/services/{service}'

    def tariffs(self):
        """Send a GET; the response must be for this path."""
        path = f'/{self.number}/{self.sent}'
        answer = self.http.request('GET', self.url('tariffs') + path)
        self.check_response('tariffs', answer, path, b'')

    def surveys(self):
        """Upload a random body; the response must contain its digest."""
        path = f'/{self.number}/{self.sent}'
        body = self.rng.randbytes(self.rng.randint(1, 2_000_000))
        answer = self.http.request(
            'POST', self.url('surveys') + path, body=body
        )
        self.check_response('surveys', answer, path, body)

    def reservations(self):
        """Send the same idempotency key through several entry VMs."""
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
            self.check_response('reservations', answer, path, body)

    def check_response(self, kind, answer, path, body):
        """Check a response against the request and the upstreams' records."""
        tally = self.soak.tally
        tally.count(f'{kind} {answer.status}')
        if answer.status == 200:
            found = json.loads(answer.data)
            expected = (path, len(body), hashlib.sha256(body).hexdigest())
            if (found['path'], found['bytes'], found['sha256']) != expected:
                tally.wrong.append(f'{kind}: response to another request')
            return
        problem = json.loads(answer.data)
        claims_not_run = problem.get('outcome') == 'not_run'
        # An earlier request with the same key may have run.
        if kind != 'reservations' and claims_not_run and self.soak.runs(path):
            tally.wrong.append(
                f'{kind}: {path} ran, but was reported as not run'
            )


class Soak:
    """One soak run against a local deployment."""

    def __init__(self, seed, minutes):
        """Create a run of `minutes`, with random numbers from `seed`."""
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
        """Return how many times the upstreams ran a path."""
        return sum(
            upstream.requests_by_path[path]
            for upstream in self.local.upstreams.values()
        )

    async def run(self):
        """Run callers, an operator and faults, then check the reservations."""
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
        """Check that no reservation ran more than once."""
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
        """Inject a random fault, and end it."""
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
        """Make the platform unavailable for some seconds."""
        self.local.faults.is_down = True
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        self.local.faults.is_down = False

    async def lose_answers(self):
        """Lose the responses to the next platform writes."""
        self.local.faults.lost_responses += self.rng.randint(1, 3)

    async def slow_platform(self):
        """Delay the platform's responses for some seconds."""
        self.local.faults.delay_ms = self.rng.randint(50, 1000)
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        self.local.faults.delay_ms = 0

    async def crash_entry_vm(self):
        """Crash an entry VM and restart it."""
        name = self.rng.choice(list(self.local.entry_vms))
        self.tally.add_invariants(self.local.entry_vms[name])
        await self.local.kill_entry_vm(name)
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        await self.local.start_entry_vm(name)

    async def stop_entry_vm(self):
        """Stop an entry VM gracefully and restart it."""
        name = self.rng.choice(list(self.local.entry_vms))
        vm = self.local.entry_vms.pop(name)
        await vm.stop()
        self.tally.add_invariants(vm)
        await self.local.start_entry_vm(name)

    async def freeze_loop(self):
        """Block the event loop, so that all entry VMs pause."""
        time.sleep(self.rng.uniform(*PAUSE_RANGE))

    async def upstream_leaves(self):
        """Let an upstream announce that it is leaving, then return."""
        upstream = self.rng.choice(list(self.local.upstreams.values()))
        upstream.is_leaving = True
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        upstream.is_leaving = False

    async def cut_entry_vm(self):
        """Disconnect an entry VM from its peers and the platform."""
        parts = self.rng.choice(list(self.local.entry_vms.values()))._parts
        url = parts.http_platform._url
        parts.http_platform._url = 'http://127.0.0.1:1'
        parts.peer_client._secret = 'cut'
        await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE))
        parts.http_platform._url = url
        parts.peer_client._secret = ''

    async def operate(self):
        """Submit random intents and confirm their plans."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * OPERATOR_SECONDS))
            intent = self.rng.choice(
                (self.shift_body, self.drain_body, self.bring_back_body),
            )
            await loop.run_in_executor(None, self.state_intent, intent())

    def state_intent(self, body):
        """Submit an intent and confirm the resulting plan."""
        listen = self.rng.choice(self.listens)
        url = f'http://{listen.operators}/v1'
        plan = self.operator_call(f'{url}/intents', body)
        if plan is not None:
            self.operator_call(f'{url}/plans/{plan["name"]}/confirm', None)

    def operator_call(self, url, body):
        """Call the operator API; return its document, None on failure."""
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
        """Print the results of the run and return the exit code."""
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
    """Run the soak with the command-line arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    args = parser.parse_args()
    soak = Soak(args.seed, args.minutes)
    asyncio.run(soak.run())
    return soak.report()


if __name__ == '__main__':
    sys.exit(main())
