"""Clients that break limits, and what they cost the process they use."""

import asyncio
import contextlib
import itertools
import os
import random
import re
import socket
import struct
from http import HTTPStatus
from pathlib import Path

import attrs
import msgspec

from tests.entry_vm_processes import GONE
from tests.platform_deployment import ask

WRITE_BYTES = 65_536
# Below what a datagram may hold.
DATAGRAM_BYTES = 60_000
KILOBYTE = 1024
# A crowd stops here, so that a fault takes no memory from other processes.
STOP_BYTES = 1_000_000_000
SAMPLE_S = 0.05
# Pause before a client comes back, which it does in a busy loop otherwise.
BACK_S = 0.01
# For an ordinary request after the clients have left.
ANSWER_S = 10
_MEMORY = re.compile(r'^VmHWM:\s*(\d+) kB\nVmRSS:\s*(\d+) kB$', re.M)
_FRAME = struct.Struct('>BHBBI')
_DATA = 0
_HEADERS = 1
_SETTINGS = 4
_PING = 6
_CONTINUATION = 9
_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'


@attrs.frozen
class EndlessMessage:
    """What one client sends on each of its connections.

    Args:
        name: Short description.
        start: Bytes that are sent once.
        repeated: Bytes that follow without end.
    """

    name: str
    start: bytes
    repeated: bytes

    @property
    def piece(self):
        """Return as many whole repetitions as one write sends."""
        return self.repeated * max(1, WRITE_BYTES // len(self.repeated))


@attrs.frozen
class ProcessUse:
    """What a process uses.

    Args:
        peak_bytes: Most resident memory since its start.
        resident_bytes: Resident memory now.
        descriptors: Number of open descriptors.
    """

    peak_bytes: int
    resident_bytes: int
    descriptors: int

    @classmethod
    def read(cls, pid):
        """Return what a process uses; None if it has ended.

        Args:
            pid: Its id.
        """
        with contextlib.suppress(OSError):
            process = Path('/proc') / str(pid)
            descriptors = len(os.listdir(process / 'fd'))
            memory = _MEMORY.search((process / 'status').read_text())
            if memory:
                return cls(
                    int(memory[1]) * KILOBYTE,
                    int(memory[2]) * KILOBYTE,
                    descriptors,
                )
        return None


@attrs.define(eq=False)
class Crowd:
    """Clients that use one process at the same time, and what it used.

    Args:
        vm: The process.
        ordinary: Address and request of ordinary requests, which it answers
            with 200.
        peak_bytes: Most resident memory since the start of the process.
        descriptors: Most descriptors that were open at the same time.
    """

    vm: object
    ordinary: tuple
    peak_bytes: int = 0
    descriptors: int = 0
    _resident: dict = attrs.field(factory=dict)

    @property
    def summary(self):
        """Return the peak and what was resident under each kind, in MB."""
        resident = ', '.join(
            f'{name} {_megabytes(size)}'
            for name, size in self._resident.items()
        )
        return (
            f'peak {_megabytes(self.peak_bytes)} MB ({resident}), '
            f'{self.descriptors} descriptors'
        )

    def record(self, name):
        """Record what the process uses.

        Args:
            name: Name of the kind of client that it serves.
        """
        use = ProcessUse.read(self.vm.pid)
        assert use, f'the process ended under: {name}; {self.summary}'
        self.peak_bytes = max(self.peak_bytes, use.peak_bytes)
        self.descriptors = max(self.descriptors, use.descriptors)
        self._resident[name] = max(
            self._resident.get(name, 0), use.resident_bytes
        )

    async def run(self, name, clients, seconds):
        """Run clients for some seconds, cut them off, and check the process.

        It has to live and to answer ordinary requests.

        Args:
            name: Name of the kind of client.
            clients: Coroutines, one for each client.
            seconds: Time after which they end.
        """
        tasks = [asyncio.create_task(each) for each in clients]
        with contextlib.ExitStack() as stack:
            for task in tasks:
                stack.callback(task.cancel)
            await self._watch(name, seconds)
            assert not any(task.done() for task in tasks), 'a client gave up'
        await asyncio.wait(tasks)
        for address, request in self.ordinary:
            status = await _ask_until_served(address, request)
            self.record(name)
            assert status == HTTPStatus.OK, (
                f'status {status} after: {name}; {self.summary}'
            )

    async def _watch(self, name, seconds):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(SAMPLE_S)
            self.record(name)
            if self.peak_bytes > STOP_BYTES:
                return


async def _ask_until_served(address, request):
    """Return the status of a request, None for no response.

    It is sent again after a 503 or a failure.
    """
    status = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_S):
            while status in {None, HTTPStatus.SERVICE_UNAVAILABLE}:
                await asyncio.sleep(BACK_S)
                with contextlib.suppress(*GONE):
                    status, _, _ = await ask(address, request)
    return status


def _megabytes(size):
    return round(size / KILOBYTE**2)


@contextlib.contextmanager
def _connection(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as connection:
        connection.setblocking(False)
        yield connection


async def write_endlessly(address, message):
    """Write without end, and come back whenever the connection is cut.

    Args:
        address: Host and port.
        message: What to send on each connection.
    """
    loop = asyncio.get_running_loop()
    piece = message.piece
    while True:
        with contextlib.suppress(OSError), _connection() as connection:
            await loop.sock_connect(connection, address)
            await loop.sock_sendall(connection, message.start)
            while True:
                await loop.sock_sendall(connection, piece)
        await asyncio.sleep(BACK_S)


async def stay_silent(address, start=b''):
    """Keep connections open without a whole request; come back when cut.

    Args:
        address: Host and port.
        start: What to send on each connection.
    """
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(OSError), _connection() as connection:
            await loop.sock_connect(connection, address)
            await loop.sock_sendall(connection, start)
            has_ended = False
            while not has_ended:
                has_ended = not await loop.sock_recv(connection, WRITE_BYTES)
        await asyncio.sleep(BACK_S)


async def send_datagrams(address, datagrams):
    """Send datagrams without end.

    Args:
        address: Host and port.
        datagrams: Iterator of the datagrams.
    """
    with _connection(socket.SOCK_DGRAM) as connection:
        connection.connect(address)
        for datagram in datagrams:
            with contextlib.suppress(OSError):
                connection.send(datagram)
            await asyncio.sleep(0)


async def discard(reader, writer):
    """Read requests until their connection ends, and answer none."""
    with contextlib.closing(writer), contextlib.suppress(OSError):
        received = await reader.read(WRITE_BYTES)
        while received:
            received = await reader.read(WRITE_BYTES)


def open_head(method, target, headers=b''):
    """Return a head without its end.

    Args:
        method: HTTP method.
        target: Request target.
        headers: Further headers, with their ends of lines.
    """
    start = f'{method} {target} HTTP/1.1\r\nHost: quotes.example\r\n'
    return start.encode() + headers


def endless_messages(own_get, upload):
    """Return requests without end, and some that are far ahead.

    Args:
        own_get: Head without end of a small request of the listener.
        upload: The same of a request with a body.
    """
    header = b'X-A: 1\r\n'
    whole = b'%b\r\n' % own_get
    chunked = b'%bTransfer-Encoding: chunked\r\n\r\n' % upload
    return [
        EndlessMessage('tiny headers', own_get, header),
        EndlessMessage('one header', b'%bX-A: ' % own_get, b'a'),
        EndlessMessage('request line', b'GET /', b'a'),
        EndlessMessage('CR LF before', b'', b'\r\n'),
        EndlessMessage('LF before', b'', b'\n'),
        EndlessMessage('CR before', b'', b'\r'),
        EndlessMessage('CR LF after', whole, b'\r\n'),
        EndlessMessage('folded lines', b'%b%b' % (own_get, header), b' 1\r\n'),
        EndlessMessage('blanks and tabs', b'%bX-A: 1' % own_get, b' \t'),
        EndlessMessage('requests ahead', b'', whole),
        EndlessMessage('chunks of one byte', chunked, b'1\r\na\r\n'),
        EndlessMessage('chunk extensions', b'%b1' % chunked, b';a=b'),
        EndlessMessage('trailers', b'%b0\r\n' % chunked, header),
    ]


def slow_head(own_get, size):
    """Return the start of a head of tiny headers.

    Args:
        own_get: Head without end that comes first.
        size: Size in bytes.
    """
    header = b'ab:12\r\n'
    return own_get + header * ((size - len(own_get)) // len(header))


def _frame(kind, payload=b'', stream=0, flags=0):
    size = len(payload)
    return _FRAME.pack(size >> 16, size & 0xFFFF, kind, flags, stream) + payload


def endless_frames():
    """Return endless HTTP/2 connections, and one of another protocol."""
    start = _PREFACE + _frame(_SETTINGS)
    # A literal that is not indexed, with a new name.
    field = b'\x00\x03x-a\x011'
    block = field * (WRITE_BYTES // 4 // len(field))
    setting = struct.pack('>HI', 4, WRITE_BYTES)
    headers = start + _frame(_HEADERS, field, 1)
    return [
        EndlessMessage(
            'tiny headers', headers, _frame(_CONTINUATION, block, 1)
        ),
        EndlessMessage('empty frames', headers, _frame(_CONTINUATION, b'', 1)),
        EndlessMessage('PING', start, _frame(_PING, bytes(8))),
        EndlessMessage('SETTINGS', start, _frame(_SETTINGS, setting)),
        EndlessMessage('DATA', start, _frame(_DATA, b'a', 1)),
        EndlessMessage('HTTP/1', b'GET / HTTP/1.1\r\n', b'X-A: 1\r\n'),
    ]


def unfinished_headers(size):
    """Return the start of an HTTP/2 connection whose headers never end.

    Args:
        size: Size of the headers in bytes.
    """
    field = b'\x00\x02ab\x0212'
    block = field * (size // len(field))
    return _PREFACE + _frame(_SETTINGS) + _frame(_HEADERS, block, 1)


def garbage_datagrams(seed):
    """Return endless large datagrams of random bytes."""
    rng = random.Random(seed)
    return (rng.randbytes(DATAGRAM_BYTES) for _ in itertools.count())


def unknown_maps(seed):
    """Return endless large datagrams, maps that are no heartbeats."""
    fields = {f'field-{seed}-{number}': number for number in range(3000)}
    return itertools.repeat(msgspec.msgpack.encode(fields))


def made_up_heartbeats(seed, peers):
    """Yield large heartbeats, each of another VM that does not exist.

    Args:
        seed: Part of the names of the VMs.
        peers: Address that they name.
    """
    for number in itertools.count():
        known = [
            _member(f'front-{seed}-{number}-{index}', peers)
            for index in range(250)
        ]
        yield msgspec.msgpack.encode(
            {'sender': known[0], 'heard': known[1:], 'revisions': {}}
        )


def _member(name, peers):
    return {
        'name': name,
        'started_ms': 1,
        'zone': 'ovd-a',
        'region': 'asturias',
        'callers': peers,
        'peers': peers,
        'is_ready': False,
        'count': 1,
    }
