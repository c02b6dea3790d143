"""Real servers on loopback: latency, lookups, configuration lag."""

import asyncio
import json
import sys
import threading
import time

import urllib3

from benchmarks.entry_process import (
    cpu_seconds,
    entry_process,
    resident_bytes,
)
from benchmarks.flow import percentile
from benchmarks.report import show
from catkindrift.demo import LocalDeployment
from catkindrift.domain import Service, Zone
from catkindrift.entry_settings import (
    Deployment,
    DeploymentSettings,
    UpstreamCount,
)
from catkindrift.errors import PlatformUnavailableError

REQUESTS = 700
WARM_UP = 200
LOOKUP_SECONDS = 4
IDLE_SECONDS = 5
BATCH_SIZE = 1000
CHANGES = 40
UPLOAD_BYTES = 1_000_000_000


def added_latency():
    """Measure the latency an entry VM adds to a direct upstream request."""
    # The client and the fake servers share this process; a short switch
    # interval keeps their threads from delaying each other.
    sys.setswitchinterval(0.0005)
    timings = {'direct': [], 'through': []}
    with entry_process() as entry:
        http = urllib3.PoolManager()
        urls = {
            'direct': f'{entry.upstream}/x',
            'through': f'{entry.callers}/services/tariffs/x',
        }
        for number in range(WARM_UP + REQUESTS):
            for name, url in urls.items():
                started = time.perf_counter()
                assert http.request('GET', url).status == 200
                took_ms = (time.perf_counter() - started) * 1000
                if number >= WARM_UP:
                    timings[name].append(took_ms)
    rows = []
    for part, target in ((0.5, 2), (0.99, 5)):
        direct = percentile(timings['direct'], part)
        through = percentile(timings['through'], part)
        rows.append(
            {
                'percentile': part,
                'direct ms': direct,
                'through ms': through,
                'added ms': through - direct,
                'target ms': target,
            },
        )
    show('added_latency', rows)


def lookups():
    """Measure lookups per second of one entry VM, single and batched."""
    rows = []
    with entry_process() as entry:
        url = f'{entry.callers}/lookup'
        single = _measure_rate(f'{url}?block=10.21.0.0/24', None, entry.pid)
        blocks = [f'10.21.{number % 256}.0/24' for number in range(BATCH_SIZE)]
        body = json.dumps({'blocks': blocks}).encode()
        batched = _measure_rate(url, body, entry.pid)
    for kind, measured, target in (
        ('single', single, 1500),
        ('blocks', [each * BATCH_SIZE for each in batched], 50_000),
    ):
        rows.append(
            {
                'kind': kind,
                'a second': measured[0],
                'a core second': measured[1],
                'target a core second': target,
            },
        )
    show('lookups', rows)


def idle_cost():
    """Measure CPU time and memory of an idle entry VM."""
    with entry_process() as entry:
        time.sleep(2)
        before = cpu_seconds(entry.pid)
        time.sleep(IDLE_SECONDS)
        used = cpu_seconds(entry.pid) - before
        show(
            'idle_cost',
            [
                {
                    'part of a core': used / IDLE_SECONDS,
                    'target': 0.019,
                    'resident MB': resident_bytes(entry.pid) / 1e6,
                    'target MB': 128,
                },
            ],
        )


def _measure_rate(url, body, pid):
    counts = [0] * 4
    before = cpu_seconds(pid)
    deadline = time.monotonic() + LOOKUP_SECONDS

    def send(number):
        http = urllib3.PoolManager()
        method = 'POST' if body else 'GET'
        while time.monotonic() < deadline:
            assert http.request(method, url, body=body).status == 200
            counts[number] += 1

    threads = [
        threading.Thread(target=send, args=(number,)) for number in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used = cpu_seconds(pid) - before
    return sum(counts) / LOOKUP_SECONDS, sum(counts) / used


def upload_memory():
    """Measure how much memory a large upload adds to an entry VM."""
    chunk = bytes(range(250)) * 400
    chunk_count = UPLOAD_BYTES // len(chunk)
    memory_samples = []
    with entry_process() as entry:
        http = urllib3.PoolManager()
        url = f'{entry.callers}/services/surveys/big'
        http.request('POST', url, body=chunk)
        before = resident_bytes(entry.pid)

        def body():
            for number in range(chunk_count):
                if not number % 100:
                    memory_samples.append(resident_bytes(entry.pid))
                yield chunk

        started = time.monotonic()
        answer = http.request(
            'POST',
            url,
            body=body(),
            headers={'Content-Length': str(UPLOAD_BYTES)},
            timeout=120,
        )
        took = time.monotonic() - started
        assert json.loads(answer.data)['bytes'] == UPLOAD_BYTES
    show(
        'upload_memory',
        [
            {
                'upload MB': UPLOAD_BYTES / 1e6,
                'growth MB': (max(memory_samples) - before) / 1e6,
                'target MB': 16,
                'MB a second': UPLOAD_BYTES / took / 1e6,
            },
        ],
    )


def agency_deployment():
    """Return a deployment of three regions with two zones each."""
    regions = ('asturias', 'cantabria', 'euskadi')
    return Deployment(
        DeploymentSettings('agency', entry_vms_per_zone=2),
        tuple(
            Zone(f'{region}-{number}', region)
            for region in regions
            for number in (1, 2)
        ),
        (Service('tariffs'),),
        (UpstreamCount('tariffs', 6),),
    )


async def _configuration_lag():
    local = LocalDeployment(agency_deployment())
    await local.start()
    await asyncio.sleep(2)
    lags = []
    failed = 0
    for number in range(CHANGES):
        if number == CHANGES // 2:
            local.faults.is_down = True
            await asyncio.sleep(3)
            local.faults.is_down = False
            await asyncio.sleep(6)
        vm = list(local.entry_vms.values())[number % len(local.entry_vms)]
        parts = vm._parts
        zone = Zone(f'bench-{number}', 'asturias')
        try:
            configuration = await _put_zone(parts, zone)
        except PlatformUnavailableError:
            failed += 1
            continue
        started = time.monotonic()
        while any(
            each.core.state.active_config.revision < configuration.revision
            for each in local.entry_vms.values()
        ):
            await asyncio.sleep(0.002)
        lags.append(time.monotonic() - started)
    await local.stop()
    show(
        'configuration_lag',
        [
            {
                'entry VMs': 12,
                'changes': len(lags),
                'refused': failed,
                'p50 s': percentile(lags, 0.5),
                'p99 s': percentile(lags, 0.99),
                'target p99 s': 3,
            },
        ],
    )


async def _put_zone(parts, zone):
    from catkindrift.plans import ConfigurationStore, put_zone

    store = ConfigurationStore(parts.platform, parts.clock)
    stored = await store.edit(lambda known: put_zone(known, zone))
    return stored.configuration


def main():
    """Run all benchmarks of real servers."""
    added_latency()
    lookups()
    idle_cost()
    upload_memory()
    asyncio.run(_configuration_lag())


if __name__ == '__main__':
    main()
