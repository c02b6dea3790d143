"""Slopes from which docs/CAPACITY.md works out the target size."""

import asyncio
import statistics
import time
from unittest import mock

from benchmarks.flow import percentile
from benchmarks.report import show
from catkindrift.claims import ClaimState, ClaimStore
from catkindrift.clock import ManualClock
from catkindrift.demo import LocalDeployment
from catkindrift.domain import (
    Configuration,
    Service,
    Vm,
    VmRole,
    Zone,
    decode_json,
    encode_json,
)
from catkindrift.peers import (
    Members,
    PeerClient,
    PeerRecord,
    ServiceCapacity,
    UpstreamLoad,
    record_from_wire,
    record_to_wire,
)
from catkindrift.peers.protocol import peers_pb2
from catkindrift.routing import BlockTable, EntryDirectory
from catkindrift.settings import Deployment, DeploymentSettings
from tests.fakes import FakePlatform, Fleet, run_now

ROUNDS = 5
COUNT_SECONDS = 4


def main():
    """Measure all slopes."""
    slope('block_table_bytes', (25_000, 50_000, 100_000, 200_000), table_bytes)
    slope('block_table_build_ms', (25_000, 50_000, 100_000, 200_000), build_ms)
    slope('block_lookup_us', (25_000, 50_000, 100_000, 200_000), lookup_us)
    slope('record_bytes', (0, 25, 50, 100), record_bytes)
    slope('exchange_request_bytes', (16, 63, 126, 252), request_bytes)
    slope('record_cost_us', (16, 63, 126, 252), record_cost_us)
    slope('member_bytes', (16, 63, 126, 252), member_bytes)
    slope('configuration_bytes', (20, 50, 100, 200), configuration_bytes)
    slope('configuration_decode_ms', (20, 50, 100, 200), decode_ms)
    slope('directory_build_us', (120, 500, 1500, 3100), directory_us)
    slope('claim_platform_calls', (1, 10, 50, 100), claim_calls)
    slope('exchange_bytes_a_second', (2, 4, 8, 12), exchange_bytes_a_second)
    slope('tick_us', (4, 10, 20, 40), tick_us)


def slope(name, sizes, measure):
    """Measure at each size, fit a line and show its error."""
    figures = [measure(size) for size in sizes]
    fit = statistics.linear_regression(sizes, figures)
    errors = [
        abs(figure - fit.intercept - fit.slope * size)
        for size, figure in zip(sizes, figures, strict=True)
    ]
    rows = [
        {
            'size': size,
            'measured': float(figure),
            'slope': fit.slope,
            'intercept': fit.intercept,
            'largest error': max(errors),
        }
        for size, figure in zip(sizes, figures, strict=True)
    ]
    show(name, rows)


def timed(call, rounds=ROUNDS):
    """Return the median time of a call in seconds."""
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return percentile(times, 0.5)


def zones_with(blocks):
    """Return 117 zones that share a number of client blocks."""
    texts = [
        f'{10 + (n >> 16)}.{n >> 8 & 255}.{n & 255}.0/24' for n in range(blocks)
    ]
    return [
        Zone(f'zone-{n}', f'region-{n % 50}', tuple(texts[n::117]))
        for n in range(117)
    ]


def table_bytes(blocks):
    """Return the bytes of a block table."""
    table = BlockTable.build(zones_with(blocks))
    return sum(
        part.buffer_info()[1] * part.itemsize
        for part in (table._starts, table._zone_indexes)
    )


def build_ms(blocks):
    """Return the time to build a block table."""
    zones = zones_with(blocks)
    return timed(lambda: BlockTable.build(zones), 3) * 1000


def lookup_us(blocks):
    """Return the time of one look-up in a block table."""
    table = BlockTable.build(zones_with(blocks))
    calls = 20_000
    return (
        timed(
            lambda: [table.zone_of('10.77.3.0/24') for _ in range(calls)],
        )
        / calls
        * 1e6
    )


def record(number, loads=20):
    """Return the record of one entry VM."""
    return PeerRecord(
        Vm(f'entry-{number}', 'zone-1', VmRole.ENTRY, '10.0.0.1', 8000, 8002),
        'region-1',
        1_790_000_000_000,
        number + 1,
        42,
        100,
        capacities=tuple(
            ServiceCapacity(f'service-{n}', 8, 3) for n in range(4)
        ),
        loads=tuple(
            UpstreamLoad(f'service-upstream-{n}', 2) for n in range(loads)
        ),
    )


def record_bytes(loads):
    """Return the wire size of a record with some upstreams in use."""
    return record_to_wire(record(1, loads)).ByteSize()


def request_bytes(members):
    """Return the wire size of an exchange request."""
    return peers_pb2.ExchangeRequest(
        own=record_to_wire(record(1)),
        known=[
            peers_pb2.RecordVersion(
                vm=f'entry-{number}',
                incarnation=1_790_000_000_000,
                sequence=number,
            )
            for number in range(members)
        ],
    ).ByteSize()


def record_cost_us(members):
    """Return the time to pack, unpack and merge all records."""
    records = [record(number) for number in range(members)]
    clock = ManualClock(1)

    def exchange():
        known = Members(clock, 'me', 1)
        for each in records:
            known.merge(record_from_wire(record_to_wire(each)))

    return timed(exchange) * 1e6


def member_bytes(members):
    """Return the wire size of all records, as kept for the others."""
    return sum(
        record_to_wire(record(number)).ByteSize() for number in range(members)
    )


def configuration(services):
    """Return a configuration with 117 zones."""
    return Configuration(
        revision=1,
        services=tuple(Service(f'service-{n}') for n in range(services)),
        zones=tuple(Zone(f'zone-{n}', f'region-{n % 50}') for n in range(117)),
    )


def configuration_bytes(services):
    """Return the size of a configuration as JSON."""
    return len(encode_json(configuration(services)))


def decode_ms(services):
    """Return the time to decode a configuration."""
    text = encode_json(configuration(services))
    return timed(lambda: decode_json(text, Configuration)) * 1000


def directory_us(vms):
    """Return the time to build the directory of entry VMs."""
    entries = [
        Vm(f'e{n}', f'zone-{n % 117}', VmRole.ENTRY, '10.0.0.1', 1)
        for n in range(vms)
    ]
    known = configuration(4)
    return timed(lambda: EntryDirectory.build(entries, known)) * 1e6


def claim_calls(claims):
    """Return the platform writes of a number of claims."""
    platform = FakePlatform()
    store = ClaimStore(platform, ManualClock(1), 'me')
    for number in range(claims):
        granted = run_now(store.acquire(f'{number}', 's', 'd', 1000))
        run_now(store.record_outcome(granted.held, ClaimState.DONE, None))
    return platform.version


def tick_us(upstreams):
    """Return the time of one tick by upstreams of a service and zone."""
    fleet = Fleet(upstreams_per_zone=upstreams)
    core = fleet.vms['north-1-a'].core
    return timed(lambda: [core._tick() for _ in range(100)]) / 100 * 1e6


def exchange_bytes_a_second(entry_vms):
    """Return the bytes that one of some idle entry VMs sends and gets."""
    return asyncio.run(_count_exchanges(entry_vms))


async def _count_exchanges(entry_vms):
    zones = tuple(
        Zone(f'zone-{number}', f'region-{number // 2}')
        for number in range(entry_vms // 2)
    )
    local = LocalDeployment(
        Deployment(
            DeploymentSettings('count', entry_vms_per_zone=2),
            zones,
            tuple(Service(f'service-{number}') for number in range(4)),
            (),
        ),
    )
    counted = []
    real = PeerClient.exchange

    async def counting(self, peer, request):
        reply = await real(self, peer, request)
        counted.append(request.ByteSize() + reply.ByteSize())
        return reply

    await local.start()
    await asyncio.sleep(COUNT_SECONDS)
    with mock.patch.object(PeerClient, 'exchange', counting):
        await asyncio.sleep(COUNT_SECONDS)
    await local.stop()
    # Each VM sends what it asks and what it answers.
    return 2 * sum(counted) / COUNT_SECONDS / entry_vms


if __name__ == '__main__':
    main()
