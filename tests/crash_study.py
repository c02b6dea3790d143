"""Compares ways to infer which requests crash upstreams, in virtual time.

Run as `python -m tests.crash_study`; it prints the tables of docs/blame.md.
"""

import argparse
import itertools
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from fractions import Fraction
from types import MappingProxyType

import attrs
import pytest
from absl import logging

from catkindrift.blame._blame import Blame, is_covered
from catkindrift.blame._verdict import Verdict
from catkindrift.gateway import _incarnation_check
from tests.crash_simulation import CrashSimulation


def pairwise(blame, fingerprint):
    """Acquit by any other request; an acquitted request runs as a plain one."""
    own = blame.records.of_request(fingerprint)
    others = (blame._explanations or blame)._explaining(fingerprint, own)
    if is_covered(own, others):
        return Verdict(0, (), ())
    return Verdict(blame._count(fingerprint, own), tuple(own), ())


def without_acquittal(blame, fingerprint):
    """Count all crashes."""
    own = blame.records.of_request(fingerprint)
    return Verdict(blame._count(fingerprint, own), tuple(own), ())


def greedy(blame, fingerprint):
    """Blame requests with most crashes first, until all are explained."""
    source = blame._explanations or blame
    own = blame.records.of_request(fingerprint)
    count = blame._count(fingerprint, own)
    if not count:
        return Verdict(0, (), ())
    by_strength = sorted(
        source._with_enough_crashes().items(),
        key=lambda each: (-len(each[1]), each[0]),
    )
    explained = set()
    for other, records in by_strength:
        if other == fingerprint and not set(records) <= explained:
            return Verdict(count, tuple(own), ())
        explained |= set(records)
    if set(own) <= explained:
        return Verdict(0, (), ())
    return Verdict(count, tuple(own), ())


INFERENCES = MappingProxyType(
    {
        'pairwise': pairwise,
        'none': without_acquittal,
        'greedy': greedy,
        'proven': Blame.verdict,
    }
)


@attrs.frozen
class Case:
    """One row of a table: its name, and the options of the simulation."""

    name: str
    options: dict


def cases():
    """Return the cases of the tables."""
    found = [
        Case(f'{count} at once', {'poison_count': count})
        for count in (1, 3, 6, 12, 20)
    ]
    found += [
        Case(
            f'{count} at once, mass crashes',
            {'poison_count': count, 'mass_crashes': True},
        )
        for count in (0, 3, 12, 20)
    ]
    overlapping = {
        'poison_probability': Fraction(1),
        'poison_steps': 4,
    }
    found += [
        Case('3 that run 0.4 s, every 0.1 s', {**overlapping}),
        Case(
            '12 from many addresses',
            {'poison_count': 12, 'has_one_address': False},
        ),
        Case('12, silent ends', {'poison_count': 12, 'is_silent': True}),
        Case(
            '12, silent ends, neighbours not asked',
            {'poison_count': 12, 'is_silent': True, 'is_deaf': True},
        ),
        Case('12 at full load', {'poison_count': 12, 'is_full': True}),
        Case('12 with cuts and restarts', {'poison_count': 12, 'faults': True}),
        Case(
            '12 with cuts, restarts, mass crashes',
            {'poison_count': 12, 'faults': True, 'mass_crashes': True},
        ),
    ]
    return found


async def no_neighbour_responds(_check, _upstream):
    """Return that no other upstream of the zone responds."""
    return False


def run_case(task):
    """Run one simulation; return the crashes by request, and the counts."""
    inference, options, seed, vm_count = task
    options = dict(options)
    has_faults = options.pop('faults', False)
    is_deaf = options.pop('is_deaf', False)
    load = Fraction(12, 5) if options.pop('is_full', False) else Fraction(6, 10)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Blame, 'verdict', INFERENCES[inference])
        patch.setattr(_incarnation_check, '_CHECK_PAUSES_SECONDS', (0, 0, 0))
        if is_deaf:
            patch.setattr(
                _incarnation_check.IncarnationCheck,
                '_has_live_neighbours',
                no_neighbour_responds,
            )
        simulation = CrashSimulation(
            seed,
            has_faults=has_faults,
            has_store=True,
            vm_count=vm_count,
            upstream_count=24,
            plain_probability=load * 11 / vm_count,
            **options,
        ).run()
    refused = {
        is_plain: sum(
            count
            for (plain, _), count in simulation.refusals.items()
            if plain == is_plain
        )
        for is_plain in (True, False)
    }
    return (
        [len(times) for times in simulation.crash_times_ms.values()],
        len(simulation.late_runs),
        len(simulation.quarantined_plain),
        refused[True],
        simulation.served,
    )


def row(case, inference, results):
    """Return the figures of one case under one inference, as text."""
    crashes = [count for each in results for count in each[0]] or [0]
    late = sum(each[1] for each in results)
    quarantined = sum(each[2] for each in results)
    refused = sum(each[3] for each in results)
    served = sum(each[4] for each in results)
    mean = statistics.mean(crashes)
    return (
        f'| {case.name} | {inference} | {max(crashes)} | {mean:.2f} | {late} '
        f'| {quarantined} | {refused} | {served} |\n'
    )


def main():
    """Print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--vms', type=int, default=11)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--inferences', default=','.join(INFERENCES))
    options = parser.parse_args()
    seeds = range(900, 900 + options.seeds)
    rows = list(itertools.product(cases(), options.inferences.split(',')))
    tasks = [
        (inference, case.options, seed, options.vms)
        for case, inference in rows
        for seed in seeds
    ]
    logging.set_verbosity(logging.ERROR)
    with ProcessPoolExecutor(options.jobs) as pool:
        results = pool.map(run_case, tasks)
        for case, inference in rows:
            of_row = list(itertools.islice(results, options.seeds))
            sys.stdout.write(row(case, inference, of_row))
            sys.stdout.flush()


if __name__ == '__main__':
    main()
