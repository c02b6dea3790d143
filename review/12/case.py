"""Backends leave while the entries of a zone without power lapse."""

import asyncio
import itertools
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-3'))

from backend import Backend  # noqa: E402
from case_runner import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    ZONES,
    limits,
    main,
    route,
    service,
)
from client import new_attempt, send  # noqa: E402
from vm import CouldNotRun  # noqa: E402

HOST = 'quotes.example'
SERVICE = 'subvenciones'
LOST = 'bio-a'
BACKENDS = {'ovd-a': 3, 'snt-a': 3, LOST: 4}
PHASE_S = 0.06
# The zone is without power for so long.
DARK_S = 5.5
LEAVERS = 2
LEAVE_AFTER_S = 0.25
# It goes on serving for `drain_s` and a little longer, at times many seconds.
SERVES_S = 6.0
EVERY_S = 0.005


async def send_requests(vms, attempts):
    jobs = set()

    async def one(vm, attempt):
        path = f'/filing/{attempt}'
        sent_s, status, _, _ = await send(
            vm.front, HOST, 'POST', path, attempt, b'x', 1500
        )
        attempts[attempt] = (vm.name, sent_s, status)

    for number in itertools.count():
        vm = vms[number % len(vms)]
        job = asyncio.create_task(one(vm, new_attempt('c')))
        jobs.add(job)
        job.add_done_callback(jobs.discard)
        await asyncio.sleep(EVERY_S)


async def wait_for_lapse(case, before):
    """Wait until the store has removed the first entry of the zone."""
    async with asyncio.timeout(10):
        while case.store.count('servers') == before:
            await asyncio.sleep(0.005)


async def return_power(case):
    """Start the zone's backends, under new ids, and its entry VM again."""
    await asyncio.sleep(DARK_S)
    case.record(f'POWER {LOST} has power again')
    for vm in case.vms:
        if vm.zone == LOST:
            await vm.start()
    for backend in case.backends:
        if backend.zone == LOST:
            await backend.start(cold=True)


async def play(case):
    await case.store.listen()
    for zone, count in BACKENDS.items():
        for _ in range(count):
            backend = Backend(
                case.store,
                SERVICE,
                zone,
                lambda line: note(case, line),
                work_s=0.05,
                cold_s=3.0,
            )
            case.backends.append(backend)
            await backend.start()
            await asyncio.sleep(PHASE_S)
    await case.configure(
        1,
        [
            limits(),
            service(SERVICE),
            route('filing', HOST, '/filing/', 'unsafe', 1.0, service=SERVICE),
        ],
    )
    await case.start_vms(ZONES)
    staying = [vm for vm in case.vms if vm.zone != LOST]
    attempts = {}
    await asyncio.sleep(BOUNDS['stable_window_s'])
    sender = asyncio.create_task(send_requests(staying, attempts))
    await asyncio.sleep(2)
    if not any(status == 200 for _, _, status in attempts.values()):
        raise CouldNotRun('no request was served before the trouble')
    leaving = [each for each in case.backends if each.zone != LOST]
    leaving = leaving[:: len(leaving) // LEAVERS][:LEAVERS]
    if case.has_trouble:
        case.record(f'TROUBLE {LOST} loses power')
        for vm in case.vms:
            if vm.zone == LOST:
                await vm.end()
        for backend in case.backends:
            if backend.zone == LOST:
                backend.lose_power()
        returning = asyncio.create_task(return_power(case))
        await wait_for_lapse(case, len(case.backends))
    await asyncio.sleep(LEAVE_AFTER_S)
    left = [await each.leave_unannounced(SERVES_S) for each in leaving]
    await asyncio.sleep(SERVES_S + 1)
    sender.cancel()
    if case.has_trouble:
        await returning
    return judge(case, staying, attempts, left)


def note(case, line):
    """Record all but the runs, which are judged at the end."""
    if not line.startswith('RUN'):
        case.record(line)


def judge(case, staying, attempts, left):
    """Return whether the rule held, by what clients and backends saw."""
    bound_s = BOUNDS['drain_s']
    acknowledged = dict(left)
    late = [
        (at_s - acknowledged[incarnation], attempt, incarnation)
        for backend in case.backends
        for (attempt, incarnation), at_s in backend.arrived.items()
        if incarnation in acknowledged
        and attempt in attempts
        and at_s > acknowledged[incarnation] + bound_s
    ]
    for after_s, attempt, incarnation in sorted(late):
        vm, _, status = attempts[attempt]
        case.record(
            f'LATE  {attempt} by {vm} reached {incarnation} {after_s:.3f} s '
            f'after its removal was acknowledged; answer {status}'
        )
    statuses = {}
    for _, _, status in attempts.values():
        statuses[status] = statuses.get(status, 0) + 1
    case.record(f'{len(attempts)} requests, answers {statuses}')
    case.record(f'{len(late)} requests came later than {bound_s} s')
    if not all(vm.is_running for vm in staying):
        raise CouldNotRun('an entry VM has ended')
    return BROKEN if late else HELD


if __name__ == '__main__':
    main(HERE, play)
