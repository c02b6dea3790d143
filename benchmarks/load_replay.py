"""Replays load patterns through the decisions of entry VMs.

Usage: ``python -m benchmarks.load_replay PATTERN... VMS...``; by default all
patterns at 1, 11 and 87 VMs.
"""

import sys

from tests.load_simulation import POLICIES, replay
from tests.loads import PATTERNS, read_pattern

VM_COUNTS = (1, 11, 87)
ROW = '{:14} {:>3} {:10} {:8} {:>6} {:>7} {:>6} {:>8} {:>6} {:>6} {:>7}'


def print_replay(name, vm_count, policy):
    """Print the rows of one replay."""
    for kind, row in replay(read_pattern(name), policy, vm_count).items():
        shares = [f'{row[each]:.3f}' for each in ('within', 'late', 'refused')]
        print(
            ROW.format(
                name,
                vm_count,
                policy,
                kind,
                row['requests'],
                *shares,
                row['wait_p50'],
                row['wait_p99'],
                f'{row["credit"]:.3f}',
            ),
            flush=True,
        )


def main():
    """Print the table of the patterns that are named."""
    print(
        ROW.format(
            'pattern',
            'VMs',
            'decisions',
            'kind',
            'count',
            'within',
            'late',
            'refused',
            'p50 ms',
            'p99 ms',
            'credit',
        )
    )
    arguments = sys.argv[1:]
    counts = [int(each) for each in arguments if each.isdigit()]
    names = [each for each in arguments if not each.isdigit()]
    for name in names or PATTERNS:
        for vm_count in counts or VM_COUNTS:
            for policy in POLICIES:
                print_replay(name, vm_count, policy)


if __name__ == '__main__':
    main()
