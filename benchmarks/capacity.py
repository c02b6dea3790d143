"""Cost per unit of size, from which docs/CAPACITY.md computes capacity."""

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
from catkindrift.entry_settings import Deployment, DeploymentSettings
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
from tests.fakes import FakePlatform, Fleet, run_now

ROUNDS = 5
EXCHANGE_COUNT_SECONDS = 4


def main():
    """Run all capacity measurements."""
    measure_slope(
        'block_table_bytes', (25_000, 50_000, 100_000, 200_000), table_bytes
    )
    measure_slope(
        'block_table_build_ms', (25_000, 50_000, 100_000, 200_000), build_ms
    )
    measure_slope(
        'block_lookup_us', (25_000, 50_000, 100_000, 200_000), lookup_us
    )
    measure_slope('record_bytes', (0, 25, 50, 100), record_bytes)
    measure_slope('exchange_request_bytes', (16, 63, 126, 252), request_bytes)
    measure_slope('record_cost_us', (16, 63, 126, 252), record_cost_us)
    measure_slope('member_bytes', (16, 63, 126, 252), member_bytes)
    measure_slope(
        'configuration_bytes', (20, 50, 100, 200), configuration_bytes
    )
    measure_slope('configuration_decode_ms', (20, 50, 100, 200), decode_ms)
    measure_slope(
        'directory_build_us', (120, 500, 1500, 3100), directory_build_us
    )
    measure_slope(
        'claim_platform_calls', (1, 10, 50, 100), claim_platform_writes
    )
    measure_slope(
        'exchange_bytes_a_second', (2, 4, 8, 12), exchange_bytes_per_second
    )
    measure_slope('tick_us', (4, 10, 20, 40), tick_us)


def measure_slope(name, sizes, measure):
    """Measure at each size, fit a line and print its largest error."""
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


def median_seconds(call, rounds=ROUNDS):
    """Return the median duration of a call in seconds."""
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return percentile(times, 0.5)


def build_zones(blocks):
    """Return 117 zones with the given number of address blocks in all."""
    texts = [
        f'{10 + (n >> 16)}.{n >> 8 & 255}.{n & 255}.0/24' for n in range(blocks)
    ]
    return [
        Zone(f'zone-{n}', f'region-{n % 50}', tuple(texts[n::117]))
        for n in range(117)
    ]


def table_bytes(blocks):
    """Return the memory of a block table in bytes."""
    table = BlockTable.build(build_zones(blocks))
    return sum(
        part.buffer_info()[1] * part.itemsize
        for part in (table._starts, table._zone_indexes)
    )


def build_ms(blocks):
    """Return the time to build a block table in milliseconds."""
    zones = build_zones(blocks)
    return median_seconds(lambda: BlockTable.build(zones), 3) * 1000


def lookup_us(blocks):
    """Return the time of one block table lookup in microseconds."""
    table = BlockTable.build(build_zones(blocks))
    calls = 20_000
    return (
        median_seconds(
            lambda: [table.zone_of('10.77.3.0/24') for _ in range(calls)],
        )
        / calls
        * 1e6
    )


def sample_record(number, loads=20):
    """Return a peer record with the given number of upstream loads."""
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
    """Return the wire size of a record with the given upstream loads."""
    return record_to_wire(sample_record(1, loads)).ByteSize()


def request_bytes(members):
    """Return the wire size of an exchange request in bytes."""
    return peers_pb2.ExchangeRequest(
        own=record_to_wire(sample_record(1)),
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
    """Return the microseconds to encode, decode and merge all records."""
    records = [sample_record(number) for number in range(members)]
    clock = ManualClock(1)

    def exchange():
        known = Members(clock, 'me', 1)
        for each in records:
            known.merge(record_from_wire(record_to_wire(each)))

    return median_seconds(exchange) * 1e6


def member_bytes(members):
    """Return the wire size of the records of all members in bytes."""
    return sum(
        record_to_wire(sample_record(number)).ByteSize()
        for number in range(members)
    )


def sample_configuration(services):
    """Return a configuration with 117 zones."""
    return Configuration(
        revision=1,
        services=tuple(Service(f'service-{n}') for n in range(services)),
        zones=tuple(Zone(f'zone-{n}', f'region-{n % 50}') for n in range(117)),
    )


def configuration_bytes(services):
    """Return the length of a configuration as JSON."""
    return len(encode_json(sample_configuration(services)))


def decode_ms(services):
    """Return the time to decode a configuration in milliseconds."""
    text = encode_json(sample_configuration(services))
    return median_seconds(lambda: decode_json(text, Configuration)) * 1000


def directory_build_us(vms):
    """Return the microseconds to build the directory of entry VMs."""
    entries = [
        Vm(f'e{n}', f'zone-{n % 117}', VmRole.ENTRY, '10.0.0.1', 1)
        for n in range(vms)
    ]
    known = sample_configuration(4)
    return median_seconds(lambda: EntryDirectory.build(entries, known)) * 1e6


def claim_platform_writes(claims):
    """Return the platform writes that a number of claims needs."""
    platform = FakePlatform()
    store = ClaimStore(platform, ManualClock(1), 'me')
    for number in range(claims):
        granted = run_now(store.acquire(f'{number}', 's', 'd', 1000))
        run_now(store.record_outcome(granted.held, ClaimState.DONE, None))
    return platform.version


def tick_us(upstreams):
    """Return the microseconds of a tick.

    Args:
        upstreams: Upstreams per service and zone.
    """
    fleet = Fleet(upstreams_per_zone=upstreams)
    core = fleet.vms['north-1-a'].core
    return (
        median_seconds(lambda: [core._tick() for _ in range(100)]) / 100 * 1e6
    )


def exchange_bytes_per_second(entry_vms):
    """Return bytes per second that an idle entry VM sends and receives."""
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
    message_bytes = []
    original_exchange = PeerClient.exchange

    async def counting(self, peer, request):
        reply = await original_exchange(self, peer, request)
        message_bytes.append(request.ByteSize() + reply.ByteSize())
        return reply

    await local.start()
    await asyncio.sleep(EXCHANGE_COUNT_SECONDS)
    with mock.patch.object(PeerClient, 'exchange', counting):
        await asyncio.sleep(EXCHANGE_COUNT_SECONDS)
    await local.stop()
    # An exchange is sent by one VM and received by another, so each byte
    # counts twice in the sum over all VMs.
    return 2 * sum(message_bytes) / EXCHANGE_COUNT_SECONDS / entry_vms


if __name__ == '__main__':
    main()
