"""Size and processing cost of heartbeats between gateway entry VMs."""

import time

import msgspec

from benchmarks.report import show
from catkindrift.clock import ManualClock
from catkindrift.steering import (
    MAX_DIRECT_MEMBERS,
    Heartbeat,
    MemberFacts,
    Members,
    Sighting,
)

ROUNDS = 20_000
ANSWER_AGE_MS = 1400
NANOSECONDS_PER_MICROSECOND = 1000
MAX_SIGHTINGS = 40
REVISIONS = {'config': 1234, 'servers': 5678, 'evacuations': 91}


def sample_facts(index, count):
    """Return the heartbeat facts of one entry VM."""
    return MemberFacts(
        f'front-{index}',
        1_790_000_000_000,
        'zone-a',
        'region-a',
        f'10.1.0.{index % 250}:8641',
        f'10.1.0.{index % 250}:7620',
        is_ready=True,
        count=count,
    )


def sightings(members):
    """Return the signs of life that a heartbeat carries."""
    count = MAX_SIGHTINGS if members > MAX_DIRECT_MEMBERS else 0
    return tuple(
        Sighting.of(sample_facts(index, 1), age_ms=index)
        for index in range(3, 3 + count)
    )


def measure(members):
    """Return the table row for a number of known entry VMs."""
    known = Members(ManualClock(0), 'own')
    known.record_facts(sample_facts(index, 0) for index in range(members))
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(Heartbeat)
    heard = (sample_facts(1, 1), sample_facts(2, 1))
    heartbeat = Heartbeat(
        sample_facts(0, 1),
        heard,
        REVISIONS,
        (),
        ANSWER_AGE_MS,
        sightings=sightings(members),
    )
    datagram = encoder.encode(heartbeat)
    started = time.perf_counter_ns()
    for _ in range(ROUNDS):
        known.record_heartbeat(decoder.decode(datagram))
    took = time.perf_counter_ns() - started
    return {
        'entry VMs': members,
        'bytes': len(datagram),
        'us to decode and learn': took / ROUNDS / NANOSECONDS_PER_MICROSECOND,
    }


def main():
    """Run the heartbeat benchmark and print its table."""
    show('heartbeats', [measure(size) for size in (12, 84, 300)])


if __name__ == '__main__':
    main()
