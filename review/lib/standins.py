"""Stand-ins of a small deployment: the platform's store, servers, clients.

Standard library only. The entry VMs are the project's own program, started
with the command of deploy/system.toml as separate processes.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD_EXIT = 0
BROKEN_EXIT = 1
NOT_RUN_EXIT = 2
# Bounds of site ascp-tejados.
BOUNDS = {
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 64,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
    'grace_s': 6,
    'directory_lifetime_s': 5,
}
STABLE_WINDOW_S = 3
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_s': 3,
    'idle_timeout_s': 15,
}
PHRASES = {
    200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict',
    410: 'Gone', 421: 'Misdirected Request', 503: 'Service Unavailable',
}


class CannotRunError(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


def free_ports(count):
    """Return ports that are free for TCP and UDP on loopback.

    They lie below those that the system gives to outgoing connections.
    """
    ports = []
    with contextlib.ExitStack() as stack:
        for port in random.sample(range(20000, 32000), 2000):
            if len(ports) == count:
                break
            with contextlib.suppress(OSError):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    held.bind(('127.0.0.1', port))
                ports.append(port)
    if len(ports) < count:
        raise CannotRunError('no free ports')
    return ports


class Message:
    """Head and body of one HTTP message."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name, default=''):
        return self.headers.get(name.lower(), default)

    @property
    def method(self):
        return self.first_line.split(' ')[0]

    @property
    def target(self):
        return self.first_line.split(' ')[1]

    @property
    def status(self):
        return int(self.first_line.split(' ')[1])


async def read_head(reader):
    """Return a message without its body, None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, found = line.partition(':')
        if separator:
            headers.setdefault(name.strip().lower(), found.strip())
    return Message(lines[0], headers)


async def read_body(reader, message, *, is_response=False):
    """Read the body that the head announces; raise if it ends early."""
    if 'chunked' in message.header('transfer-encoding'):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    length = message.header('content-length')
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if is_response else b''


def encode(first_line, headers, body=b''):
    """Return an encoded message with Content-Length."""
    lines = [first_line, *(f'{name}: {found}' for name, found in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def status_line(status):
    return f'HTTP/1.1 {status} {PHRASES.get(status, "Status")}'


class Listener:
    """Accepts connections on a loopback port and ends them on close."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._tasks = set()

    async def listen(self, port=0):
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self._server:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Store(Listener):
    """The platform's store: lists, watches and writes objects."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def put(self, kind, name, spec, raw_spec=None):
        """Create or replace an object; return its revision.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Content.
            raw_spec: JSON text to serve in place of the encoded `spec`.
        """
        self.revision += 1
        known = self._objects.get((kind, name))
        created = known[0]['metadata']['created'] if known else self.revision
        document = {
            'metadata': {
                'name': name, 'revision': self.revision, 'created': created,
                'finalizers': [], 'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = (document, raw_spec)
        await self._record(kind, (document, raw_spec), deleted=False)
        return self.revision

    async def delete(self, kind, name):
        found = self._objects.pop((kind, name), None)
        if found:
            self.revision += 1
            await self._record(kind, found, deleted=True)

    async def serve(self, reader, writer):
        while True:
            request = await read_head(reader)
            if request is None:
                return
            body = await read_body(reader, request)
            status, content = await self._answer(request, body)
            writer.write(encode(
                status_line(status), [('Content-Type', 'application/json')],
                content.encode(),
            ))
            await writer.drain()

    async def _record(self, kind, stored, *, deleted):
        self._events.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, request, body):
        parts = urlsplit(request.target)
        path = parts.path.split('/')[2:]
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if request.method == 'GET' and len(path) == 1:
            if 'watch' in query:
                return await self._watch(path[0], query)
            return 200, self._list(path[0], query.get('after', ''))
        if request.method == 'GET':
            found = self._objects.get(tuple(path))
            return (200, _text(found)) if found else (404, '{}')
        document = json.loads(body)
        name = path[1] if len(path) > 1 else document['metadata']['name']
        found = self._objects.get((path[0], name))
        if request.method == 'POST' and found:
            return 409, _text(found)
        if request.method == 'PUT' and not found:
            return 404, '{}'
        await self.put(path[0], name, document.get('spec'))
        return 200, _text(self._objects[path[0], name])

    def _list(self, kind, after):
        found = [
            self._objects[each] for each in sorted(self._objects)
            if each[0] == kind and each[1] > after
        ]
        items = ','.join(map(_text, found))
        return (
            f'{{"items":[{items}],"has_more":false,'
            f'"current_rev":{self.revision}}}'
        )

    async def _watch(self, kind, query):
        since = int(query['watch'])
        wait_s = int(query.get('wait_ms', 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._since(kind, since)
                )
        events = ','.join(
            f'{{"deleted":{str(deleted).lower()},"object":{_text(stored)}}}'
            for _, _, stored, deleted in self._since(kind, since)
        )
        return 200, f'{{"events":[{events}],"current_rev":{self.revision}}}'

    def _since(self, kind, since):
        return [e for e in self._events if e[0] > since and e[1] == kind]


def _text(stored):
    document, raw_spec = stored
    if raw_spec is None:
        return json.dumps(document)
    text = json.dumps({**document, 'spec': '@spec@'})
    return text.replace('"@spec@"', raw_spec)


class Server(Listener):
    """A server of a service, which runs requests one by one on a connection.

    Args:
        record: Record of what runs.
        service: Service that it belongs to.
        server_id: Its id.
        zone: Availability zone.
        slots: Requests that it runs at a time; others wait.
        work_s: Time that a request takes.
    """

    def __init__(self, record, service, server_id, zone, slots=4, work_s=0.05):
        super().__init__()
        self.record = record
        self.service = service
        self.id = server_id
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = 'ready'
        self.runs = []
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)

    def entry(self):
        self._sequence += 1
        return {
            'address': self.address,
            'info': {
                'service': self.service, 'version': 'v1', 'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state, 'seq_no': self._sequence, 'cold_left_s': 0,
            },
        }

    async def serve(self, reader, writer):
        while True:
            request = await read_head(reader)
            if request is None:
                return
            if request.target == '/health':
                writer.write(encode(
                    status_line(200 if self.state == 'ready' else 503),
                    [('Instance-Id', self.id)],
                ))
            elif request.header('expected-instance', self.id) != self.id:
                await read_body(reader, request)
                writer.write(encode(
                    status_line(421), [('Instance-Id', self.id)],
                ))
            else:
                await self.run(request, reader, writer)
            await writer.drain()

    async def run(self, request, reader, writer):
        """Run one request and answer it."""
        request.body = await read_body(reader, request)
        async with self._free:
            self.note_run(request)
            await asyncio.sleep(self.work_s)
        writer.write(self.success(request, b'done'))

    def note_run(self, request):
        attempt = request.header('attempt-id')
        self.runs.append((
            attempt, request.method, request.target, request.body,
            self.record.now(),
        ))
        self.record(
            f'{self.id} runs {attempt or "(no id)"} {request.method} '
            f'{request.target} with {len(request.body)} bytes'
        )

    def success(self, request, body):
        return encode(
            status_line(200),
            [
                ('Attempt-Id', request.header('attempt-id')),
                ('Server-Signature', f'{self.id}.{len(body)}'),
            ],
            body,
        )


class EntryVm:
    """One entry VM: the project's program in a process of its own."""

    def __init__(self, name, zone, zones, store_address, folder, bounds=BOUNDS):
        self.name = name
        self._folder = pathlib.Path(folder)
        self._place = (zone, zones, store_address, bounds)
        self._settings = self._folder / f'{name}.toml'
        self.process = None
        self._log = None
        self.choose_ports()

    def choose_ports(self):
        """Choose ports and write the settings file."""
        zone, zones, store_address, bounds = self._place
        keys = ('callers', 'readiness', 'directory', 'peers', 'metrics')
        self.ports = dict(zip(keys, free_ports(len(keys)), strict=True))
        lines = ['[vm]', f'name = "{self.name}"', f'zone = "{zone}"']
        lines += [f'region = "{zones[zone]}"', '[listen]']
        lines += [f'{k} = "127.0.0.1:{p}"' for k, p in self.ports.items()]
        lines += ['[platform]', f'address = "{store_address}"']
        lines += ['history_s = 20', '[zones]']
        lines += [f'"{k}" = "{v}"' for k, v in zones.items()]
        lines += ['[bounds]', *(f'{k} = {v}' for k, v in bounds.items())]
        self._settings.write_text('\n'.join([*lines, '']))

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['CATKINDRIFT_SETTINGS'] = str(self._settings)
        self._log = open(self._folder / f'{self.name}.log', 'wb')
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log, stderr=self._log,
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports['readiness']
            )
        except OSError:
            return False
        writer.write(encode('GET /readiness HTTP/1.1', [('Host', 'platform')]))
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200

    def has_lost_port(self):
        """Return whether it has ended since another process took a port."""
        has_ended = self.process.returncode is not None
        return has_ended and 'address already in use' in self.log_text()

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()
        if self._log:
            self._log.close()

    def log_text(self):
        return (self._folder / f'{self.name}.log').read_text(errors='replace')


def route(name, prefix, service, kind, timeout_s, max_attempts=2):
    return {
        'entry_kind': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': 'quotes.example', 'path_prefix': prefix, 'kind': kind,
            'timeout_s': timeout_s, 'slo_latency_s': 0.4, 'priority': 1,
            'service': service, 'max_attempts': max_attempts, 'sticky': False,
            'home_regions': [],
        },
    }


def configuration(version, routes, services):
    resources = list(routes)
    resources += [
        {
            'entry_kind': 'services',
            'metadata': {'name': name},
            'spec': {
                'health_path': '/health', 'max_conns': 390, 'protocol': 'h1',
                'tls': False, 'cold_start_s': 3.0, 'cold_per_s': 7.7,
            },
        }
        for name in services
    ]
    resources.append(
        {'entry_kind': 'limits', 'metadata': {}, 'spec': dict(LIMITS)}
    )
    return {'version': f'{version:08x}', 'resources': resources}


class Deployment:
    """Store, servers and entry VMs; ends all of them on exit."""

    def __init__(self, record, zones):
        self.record = record
        self.zones = zones
        self.store = Store()
        self.servers = []
        self.vms = []
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self._beats = []

    async def __aenter__(self):
        await self.store.listen()
        return self

    async def __aexit__(self, *_):
        for task in self._beats:
            task.cancel()
        for vm in self.vms:
            await vm.kill()
        for each in (*self.servers, self.store):
            await each.stop()
        self._folder.cleanup()

    async def add_server(self, server):
        await server.listen()
        self.servers.append(server)
        await self.store.put('servers', server.id, server.entry())

    async def add_vm(self, name, zone, bounds=BOUNDS):
        vm = EntryVm(
            name, zone, self.zones, self.store.address, self._folder.name,
            bounds,
        )
        self.vms.append(vm)
        await vm.start()
        return vm

    async def wait_until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        for vm in self.vms:
            while not await vm.is_ready():
                if vm.has_lost_port():
                    self.record(f'{vm.name} starts again on other ports')
                    await vm.kill()
                    vm.choose_ports()
                    await vm.start()
                if time.monotonic() > until:
                    raise CannotRunError(
                        f'{vm.name} is not ready: {vm.log_text()[-1000:]}'
                    )
                await asyncio.sleep(0.1)
        self.record('all entry VMs are ready')


class Client:
    """One connection of a client, on which it sends requests in turn."""

    def __init__(self, vm):
        self._port = vm.ports['callers']
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self._port, limit=1 << 22
        )

    def close(self):
        if self.writer:
            self.writer.close()

    async def receive(self):
        """Return the next whole answer, None if the connection ends first."""
        head = await read_head(self.reader)
        if head is None:
            return None
        try:
            head.body = await read_body(self.reader, head, is_response=True)
        except (OSError, asyncio.IncompleteReadError):
            return None
        return head


def request_bytes(method, path, attempt, deadline_ms, body=b'', extra=()):
    headers = [
        ('Host', 'quotes.example'),
        ('Attempt-Id', attempt),
        ('Deadline-Remaining', str(deadline_ms)),
        *extra,
    ]
    return encode(f'{method} {path} HTTP/1.1', headers, body)


def run_case(folder, case):
    """Run `case(record, has_trouble)`; exit with its result.

    The case returns whether the rule was broken.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'trouble: {has_trouble}')

    async def limited():
        async with asyncio.timeout(110):
            return await case(record, has_trouble)

    try:
        is_broken = asyncio.run(limited())
    except Exception as reason:
        record(f'the case could not run: {reason!r}')
        traceback.print_exc()
        code = NOT_RUN_EXIT
    else:
        record('the rule was broken' if is_broken else 'the rule held')
        code = BROKEN_EXIT if is_broken else HELD_EXIT
    record.close()
    raise SystemExit(code)
