"""Stand-in for a backend (PROTOCOL.md, Backends)."""

import asyncio
import itertools
import time

from http_server import HttpStandIn, encode_response

NUMBERS = itertools.count(1)
HEARTBEAT_S = 1.5


class Backend(HttpStandIn):
    """Runs requests in its slots and registers itself in the store.

    Args:
        store: The store.
        service: Its service.
        zone: Its zone.
        record: Called with a line for each event.
        slots: Requests that run at once.
        work_s: Time that a request takes.
        crashes_on: Part of a path; a request for it ends the process that
            has begun to run it. None for none.
        crash_after_s: Time from when such a request begins to run until then.
        drops: Whether it drops a request when its connection closes.
        back_after_s: Time after which an ended process starts again, with a
            new id, at the same address.
        cold_s: Time for which it is cold after a start during traffic.
    """

    def __init__(
        self,
        store,
        service,
        zone,
        record,
        slots=4,
        work_s=0.05,
        crashes_on=None,
        crash_after_s=0.0,
        drops=True,
        back_after_s=2.0,
        cold_s=0.0,
    ):
        super().__init__()
        self.store = store
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.crashes_on = crashes_on
        self.crash_after_s = crash_after_s
        self.drops = drops
        self.back_after_s = back_after_s
        self.cold_s = cold_s
        self.id = ''
        self.is_leaving = False
        self.running = {}
        self.waiting = 0
        self.ran = []
        self.arrived = {}
        self.crashes = []
        self.lost = []
        self._tasks = set()
        self._slots = asyncio.Semaphore(slots)
        self._cold_until = 0.0
        self._seq_no = 0
        self._beaten_s = 0.0
        self._told_cold_s = 0.0

    @property
    def cold_left_s(self):
        return max(0.0, round(self._cold_until - time.monotonic(), 3))

    async def start(self, cold=False):
        """Start an incarnation and register it."""
        self.id = f'i-{self.service}-{next(NUMBERS):04d}'
        self._slots = asyncio.Semaphore(self.slots)
        self.running = {}
        self.waiting = 0
        if cold:
            self._cold_until = time.monotonic() + self.cold_s
        await self.listen(self.port)
        await self._register()
        self._spawn(self._beat(self.id))

    def _spawn(self, job):
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _register(self):
        self._seq_no += 1
        self._beaten_s = time.monotonic()
        self._told_cold_s = self.cold_left_s
        spec = {
            'address': f'127.0.0.1:{self.port}',
            'info': {
                'service': self.service,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'cold_left_s': self._told_cold_s,
                'seq_no': self._seq_no,
            },
        }
        await self.store.put('servers', self.id, spec)

    async def _beat(self, incarnation):
        """Write to the entry while this incarnation runs.

        An entry changes only when more than `seq_no` changes, so a write to it
        shows in `cold_left_s` alone.
        """
        while self.id == incarnation:
            await asyncio.sleep(HEARTBEAT_S)
            if self.id != incarnation or self.is_leaving:
                return
            was_cold = self._told_cold_s
            if was_cold or self.cold_left_s:
                await self._register()
            else:
                self._beaten_s = time.monotonic()

    def _crash(self, attempt):
        ended = self.id
        self.crashes.append((time.monotonic(), attempt, ended))
        self.lost += [each for each in self.running if each != attempt]
        self.record(
            f'CRASH {self.service} {ended} by {attempt}; other requests '
            f'running there: {sorted(set(self.running) - {attempt})}'
        )
        self.id = ''
        self.close()
        self._spawn(self._lapse(ended))
        self._spawn(self._come_back())

    def lose_power(self):
        """End at once; the store hears nothing more of it."""
        ended = self.id
        self.record(f'POWER {self.service} {ended} is lost')
        self.id = ''
        self.close()
        self._spawn(self._lapse(ended))

    async def leave_unannounced(self, serves_s):
        """Leave without reporting that it drains.

        Its entry is removed, and it goes on serving for a time.

        Returns:
            The id that left, and when the store had acknowledged that.
        """
        left = self.id
        self.is_leaving = True
        await self.store.delete('servers', left)
        acknowledged_s = time.monotonic()
        self.record(f'LEAVE {self.service} {left} is removed from the store')
        self._spawn(self._exit_after(serves_s))
        return left, acknowledged_s

    async def _exit_after(self, serves_s):
        await asyncio.sleep(serves_s)
        self.record(f'EXIT  {self.service} {self.id}')
        self.id = ''
        self.close()

    async def _lapse(self, ended):
        silent_s = time.monotonic() - self._beaten_s
        await asyncio.sleep(3 * HEARTBEAT_S - silent_s)
        self.record(f'LAPSE {self.service} {ended}: its entry is removed')
        await self.store.delete('servers', ended)

    async def _come_back(self):
        await asyncio.sleep(self.back_after_s)
        await self.start(cold=True)

    async def _work(self, reader, work_s):
        """Work for a time, or until the caller closes the connection."""
        if not self.drops:
            await asyncio.sleep(work_s)
            return
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=work_s)
        if done:
            raise ConnectionResetError
        closed.cancel()
        await asyncio.wait({closed})

    async def respond(self, reader, writer, first, headers, body):
        method, target, _ = first.split(' ', 2)
        attempt = headers.get('attempt-id', '')
        load = f'{len(self.running)},{self.waiting},{self.slots}'
        echo = [('Attempt-Id', attempt), ('Server-Load', load)]
        expected = headers.get('expected-instance')
        if expected and expected != self.id:
            writer.write(encode_response(421, echo, b''))
            return
        if target == '/health':
            told = [('Instance-Id', self.id), ('Server-Load', load)]
            if self.cold_left_s:
                left_ms = round(self.cold_left_s * 1000)
                told.append(('Cold-Remaining-Ms', str(left_ms)))
            writer.write(encode_response(200, told, b''))
            return
        if self.waiting >= 3 * self.slots:
            refusal = [*echo, ('Not-Executed', '1')]
            writer.write(encode_response(503, refusal, b''))
            return
        incarnation = self.id
        self.arrived[attempt, incarnation] = time.monotonic()
        slots = self._slots
        self.waiting += 1
        await slots.acquire()
        try:
            self.waiting -= 1
            if self.id != incarnation:
                raise ConnectionResetError
            self.running[attempt] = target
            self.ran.append((time.monotonic(), attempt, target, incarnation))
            self.record(f'RUN   {self.service} {incarnation} {attempt} {target}')
            is_fatal = self.crashes_on and self.crashes_on in target
            await self._work(
                reader, self.crash_after_s if is_fatal else self.work_s
            )
            if self.id != incarnation:
                raise ConnectionResetError
            if is_fatal:
                self._crash(attempt)
                raise ConnectionResetError
        finally:
            self.running.pop(attempt, None)
            slots.release()
        signed = [*echo, ('Server-Signature', f'{incarnation}.{attempt}')]
        writer.write(encode_response(200, signed, b'ok ' + attempt.encode()))
        await writer.drain()
