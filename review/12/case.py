"""Bytes after an answer that belong to no request: is another request run twice?"""

import asyncio
import collections
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'lib-3'))
from stand_ins import *  # noqa: F403

# Of the site file: share of the backends, share of their answers, seconds.
SHARE = 0.6
OF_ANSWERS = 0.03
FOR_S = 5.0
# What a backend says to a request without an id.
STRAY = b'HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'


class LateBytes:
    """Sends bytes after some answers, when the next request has come."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.until = time.monotonic() + FOR_S
        self.answers = 0
        self.late = 0
        self._due = set()

    def before_work(self, writer):
        if writer in self._due:
            self._due.discard(writer)
            self.late += 1
            self.record.write(f'{self.name} sends {len(STRAY)} bytes that belong to no request')
            writer.write(STRAY)

    async def answer(self, writer, answer):
        self.answers += 1
        is_on = time.monotonic() < self.until
        # The first answer, and then one in so many.
        if is_on and self.answers % round(1 / OF_ANSWERS) == 1:
            self._due.add(writer)
        writer.write(answer)
        await writer.drain()
        return True


async def send_for(record, vm, ids, until, answers):
    client = Client(record, vm)
    try:
        while time.monotonic() < until:
            attempt = next(ids)
            answers[attempt], _ = await client.request('POST', '/grants/1', attempt, b'x')
            await asyncio.sleep(0.02)
    finally:
        client.close()


async def case(record, folder, trouble):
    store = Store(record)
    await store.start()
    backends = [
        Backend(record, store, f'i-grants-{number}', 'grants', zone)
        for number, zone in enumerate(('ovd-a', 'ovd-a', 'snt-a', 'snt-a', 'snt-a'))
    ]
    for each in backends:
        await each.start()
    routes = {'r1': route('grants', 'unsafe', '/grants/')}
    store.put('config', 'main', configuration(12, routes, {'grants': service()}))
    vms = [
        EntryVm(record, store.port, f'front-{zone}-1', zone, folder) for zone in ZONES
    ]
    answers = {}
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_ready()
        # In touch: `stable_window_s` (3) after the start.
        await asyncio.sleep(3.5)
        ids = next_ids('b')
        until = time.monotonic() + FOR_S + 3
        senders = asyncio.gather(
            *(send_for(record, vm, ids, until, answers) for vm in vms for _ in range(4))
        )
        await asyncio.sleep(1)
        faulty = backends[: round(len(backends) * SHARE)] if trouble else []
        for each in faulty:
            each.faults = LateBytes(record, each.id)
        await senders
        # Longer than any request runs.
        await asyncio.sleep(0.5)
        runs = collections.Counter(run['id'] for each in backends for run in each.runs)
        twice = [attempt for attempt, count in runs.items() if count > 1]
        refused = [
            attempt
            for attempt, status in answers.items()
            if status in {408, 421, 429, 503} and runs[attempt]
        ]
        late = sum(each.faults.late for each in faulty)
        served = sum(status == 200 for status in answers.values())
        for attempt in twice:
            record.write(f'twice: {attempt} ran {runs[attempt]} times, answered {answers[attempt]}')
        for attempt in refused:
            record.write(f'refused: {attempt} ran and was answered {answers[attempt]}')
        if served < 100 or (trouble and not late):
            raise CouldNotRun(f'{served} requests served, late bytes {late} times')
        reason = (
            f'{len(twice)} unsafe requests ran more than once, {len(refused)} were refused '
            f'and ran; {len(answers)} sent, {served} served, late bytes {late} times'
        )
        return (BROKEN if twice or refused else HELD), reason
    finally:
        for vm in vms:
            await vm.stop()
        for each in backends:
            each.close()
        store.close()


run_case(case)
