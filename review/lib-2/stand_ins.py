"""Stand-ins for case 9: store, backends, entry VMs and clients.

All run on loopback and the real clock, with the standard library only. The
entry VMs are the project's own processes, started by the command in
``deploy/system.toml``.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
ZONES = {'ovd-a': 'asturias', 'snt-a': 'cantabria'}
# Bounds of `sites/ascp-tejados.toml`.
BOUNDS = {
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 64,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
    'grace_s': 6,
    'directory_lifetime_s': 5,
}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """Something that the case needs did not come about."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    @property
    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's store: objects, lists and watches (PROTOCOL.md)."""

    def __init__(self, record, history_s=20):
        self.record = record
        self.history_s = history_s
        self.revision = 1
        self.dropped_revision = 0
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def put(self, kind, name, spec):
        """Write an object; `spec` is JSON bytes, kept as they were written."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        known = self.objects.get((kind, name))
        if known and known[1] == raw:
            return known[0]
        self.revision += 1
        self.objects[kind, name] = (self.revision, raw)
        self._add_event(kind, name, raw, deleted=False)
        return self.revision

    def delete(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self._add_event(kind, name, known[1], deleted=True)

    def _add_event(self, kind, name, raw, *, deleted):
        entry = (time.monotonic(), self.revision, kind, name, raw, deleted)
        self.events.append(entry)
        self._drop_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop_history(self):
        oldest = time.monotonic() - self.history_s
        while self.events and self.events[0][0] < oldest:
            self.dropped_revision = self.events.pop(0)[1]

    @staticmethod
    def _object(name, revision, raw):
        metadata = json.dumps({'name': name, 'revision': revision}).encode()
        return b'{"metadata":%b,"spec":%b,"status":null}' % (metadata, raw)

    def _list(self, kind, after):
        found = sorted(
            (name, revision, raw)
            for (of_kind, name), (revision, raw) in self.objects.items()
            if of_kind == kind and name > after
        )
        items = b','.join(self._object(*each) for each in found[:500])
        more = b'true' if len(found) > 500 else b'false'
        return 200, b'{"items":[%b],"has_more":%b,"current_rev":%d}' % (
            items,
            more,
            self.revision,
        )

    async def _watch(self, kind, since, wait_s):
        ends = time.monotonic() + wait_s
        while True:
            self._drop_history()
            if since < self.dropped_revision:
                return 410, b'{}'
            changes = [
                each for each in self.events if each[1] > since and each[2] == kind
            ]
            left = ends - time.monotonic()
            if changes or left <= 0:
                break
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
        events = b','.join(
            b'{"object":%b,"deleted":%b}'
            % (self._object(name, revision, raw), b'true' if deleted else b'false')
            for _, revision, _, name, raw, deleted in changes
        )
        return 200, b'{"events":[%b],"current_rev":%d}' % (events, self.revision)

    async def _answer(self, method, target, body):
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        _, _, kind, *rest = parsed.path.split('/')
        name = urllib.parse.unquote(rest[0]) if rest else ''
        if method == 'GET' and 'watch' in query:
            wait_s = int(query.get('wait_ms', 0)) / 1000
            return await self._watch(kind, int(query['watch']), wait_s)
        if method == 'GET' and not name:
            return self._list(kind, query.get('after', ''))
        if method == 'GET':
            known = self.objects.get((kind, name))
            return (200, self._object(name, *known)) if known else (404, b'{}')
        document = json.loads(body) if body else {}
        if method == 'POST':
            name = document['metadata']['name']
            if (kind, name) in self.objects:
                return 409, b'{}'
            self.put(kind, name, document['spec'])
            return 201, b'{}'
        if method == 'PUT':
            if (kind, name) not in self.objects:
                return 404, b'{}'
            self.put(kind, name, document['spec'])
            return 200, b'{}'
        self.delete(kind, name)
        return 200, b'{}'

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(' ')
                body = await read_body(reader, head[1])
                status, content = await self._answer(method, target, body)
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%b' % (status, len(content), content)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Backend:
    """A backend of one service (PROTOCOL.md, "Backends")."""

    def __init__(self, record, store, name, service, zone, *, slots=4, work_s=0.1, born_ms=0):
        self.record = record
        self.store = store
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        # Unix milliseconds of its start, where backends state that.
        self.born_ms = born_ms
        self.state = 'ready'
        self.port = 0
        # Id, time and target of each request, and when it was done or cut off.
        self.runs = []
        self.working = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        return self.store.put('servers', self.id, self.entry())

    def entry(self):
        born = {'born': self.born_ms} if self.born_ms else {}
        return {
            **born,
            'address': f'{HOST}:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {'state': self.state, 'seq_no': 1, 'cold_left_s': 0},
        }

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def head(self, status, attempt, body, extra=b''):
        """Return the bytes of a complete answer of this backend."""
        return (
            b'HTTP/1.1 %d X\r\nAttempt-Id: %b\r\nServer-Signature: %b.%b\r\n'
            b'Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n%b'
            b'Content-Length: %d\r\n\r\n%b'
            % (
                status,
                attempt,
                self.id.encode(),
                attempt,
                self.working,
                self.slots,
                extra,
                len(body),
                body,
            )
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                if not await self._one(reader, writer, *head):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader, writer, line, headers):
        _, target, _ = line.split(' ')
        body = await read_body(reader, headers)
        expected = headers.get('expected-instance', self.id)
        attempt = headers.get('attempt-id', '').encode()
        if target == '/health':
            said = json.dumps({'born': self.born_ms}).encode() if self.born_ms else b''
            writer.write(
                b'HTTP/1.1 %d X\r\nInstance-Id: %b\r\nServer-Load: %d,0,%d\r\n'
                b'Content-Length: %d\r\n\r\n%b'
                % (
                    200 if self.state == 'ready' else 503,
                    self.id.encode(),
                    self.working,
                    self.slots,
                    len(said),
                    said,
                )
            )
            return True
        if expected != self.id:
            writer.write(self.head(421, attempt, b'', b'Not-Executed: 1\r\n'))
            return True
        if not attempt:
            writer.write(
                b'HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        run = {'id': attempt.decode(), 'at': self.record.now, 'target': target}
        self.runs.append(run)
        self.record.write(f'run {attempt.decode()} {target} at {self.id}')
        self.working += 1
        try:
            await self._work(reader, headers)
        except ConnectionError:
            run['cut'] = self.record.now
            self.record.write(f'cut {attempt.decode()} at {self.id}')
            return False
        finally:
            self.working -= 1
        run['done'] = self.record.now
        writer.write(self.head(200, attempt, b'answer to %b' % attempt))
        await writer.drain()
        return True

    async def _work(self, reader, headers):
        """Work on a request; drop it when its connection closes."""
        deadline_s = int(headers.get('deadline-remaining', 60_000)) / 1000
        ends = time.monotonic() + min(self.work_s, deadline_s)
        while (left := ends - time.monotonic()) > 0:
            if reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(min(left, 0.01))


def configuration(version, routes, services, limits=None):
    """Return the spec of `config/main`."""
    resources = [
        {'entry_kind': 'routes', 'metadata': {'name': name}, 'spec': spec}
        for name, spec in routes.items()
    ]
    resources += [
        {'entry_kind': 'services', 'metadata': {'name': name}, 'spec': spec}
        for name, spec in services.items()
    ]
    spec = {
        'max_header_bytes': 16_384,
        'max_body_bytes': 4_194_304,
        'header_timeout_s': 5,
        'idle_timeout_s': 20,
        **(limits or {}),
    }
    resources.append({'entry_kind': 'limits', 'metadata': {'name': ''}, 'spec': spec})
    return {'version': f'{version:08x}', 'resources': resources}


def route(service, kind, prefix, **more):
    return {
        'host': 'quotes.example',
        'path_prefix': prefix,
        'service': service,
        'kind': kind,
        'timeout_s': 5,
        'max_attempts': 3,
        'slo_latency_s': 0.4,
        'priority': 1,
        **more,
    }


def service(**more):
    return {
        'health_path': '/health',
        'max_conns': 390,
        'cold_start_s': 3,
        'cold_per_s': 7.7,
        **more,
    }


class EntryVm:
    """One process of the project, started as the platform starts it."""

    def __init__(self, record, store_port, name, zone, folder, bounds=BOUNDS):
        self.record = record
        self.name = name
        self.zone = zone
        self.store_port = store_port
        self.bounds = bounds
        self.folder = pathlib.Path(folder)
        self.ports = {
            key: free_port()
            for key in ('callers', 'readiness', 'directory', 'peers', 'metrics')
        }
        self.process = None

    def _settings(self):
        listen = '\n'.join(
            f'{key} = "{HOST}:{port}"' for key, port in self.ports.items()
        )
        zones = '\n'.join(f'"{zone}" = "{at}"' for zone, at in ZONES.items())
        bounds = '\n'.join(f'{key} = {bound}' for key, bound in self.bounds.items())
        return (
            f'[vm]\nname = "{self.name}"\nzone = "{self.zone}"\n'
            f'region = "{ZONES[self.zone]}"\n\n[listen]\n{listen}\n\n'
            f'[platform]\naddress = "{HOST}:{self.store_port}"\nhistory_s = 20\n\n'
            f'[zones]\n{zones}\n\n[bounds]\n{bounds}\n\n[overload]\n'
        )

    async def start(self):
        path = self.folder / f'{self.name}.toml'
        path.write_text(self._settings(), encoding='utf-8')
        with (ROOT / 'deploy/system.toml').open('rb') as file:
            deploy = tomllib.load(file)
        words = shlex.split(deploy['roles']['entry']['run'])
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                **kept,
                'CATKINDRIFT_SETTINGS': str(path),
                'PYTHONPATH': str(ROOT / 'target/deps'),
            },
            stdout=asyncio.subprocess.DEVNULL,
            stderr=(self.folder / f'{self.name}.log').open('ab'),
        )
        self.record.write(f'entry VM {self.name} started, process {self.process.pid}')

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports['readiness']
                )
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await read_head(reader)
                writer.close()
                return bool(head) and ' 200' in head[0]
        return False

    async def wait_ready(self, longest_s=20):
        ends = time.monotonic() + longest_s
        while time.monotonic() < ends:
            if self.process.returncode is not None:
                raise CouldNotRun(f'entry VM {self.name} ended while starting')
            if await self.is_ready():
                self.record.write(f'entry VM {self.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f'entry VM {self.name} is not ready after {longest_s} s')

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """A kept connection to one entry VM."""

    def __init__(self, record, vm):
        self.record = record
        self.vm = vm
        self.reader = None
        self.writer = None

    async def request(self, method, path, attempt, body=b'', wait_s=5.0):
        """Send a request; return the status and headers, None if unanswered."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.vm.ports['callers']
            )
        length = b'Content-Length: %d\r\n' % len(body) if body else b''
        self.writer.write(
            b'%b %b HTTP/1.1\r\nHost: quotes.example\r\nAttempt-Id: %b\r\n'
            b'Deadline-Remaining: %d\r\n%b\r\n%b'
            % (
                method.encode(),
                path.encode(),
                attempt.encode(),
                int(wait_s * 1000),
                length,
                body,
            )
        )
        self.record.write(f'sent {attempt} {method} {path} to {self.vm.name}')
        status = None
        headers = {}
        try:
            async with asyncio.timeout(wait_s):
                head = await read_head(self.reader)
                if head:
                    status = int(head[0].split(' ')[1])
                    headers = head[1]
                    await read_body(self.reader, headers)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            status = None
        self.record.write(f'answer {attempt} {status}')
        if status is None or headers.get('connection', '').lower() == 'close':
            self.close()
        return status, headers

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None


def run_case(case):
    """Run `case(record, folder, trouble)`; exit with its result.

    The result and the reason stand at the end of `record.txt`.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    here = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(here / 'record.txt')
    record.write(f'TROUBLE={int(trouble)}')
    missing = [
        each for each in ('target/deps', 'target/compiled') if not (ROOT / each).exists()
    ]

    async def run(folder):
        # Tasks of the stand-ins' own servers are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record, folder, trouble), 110)

    with tempfile.TemporaryDirectory() as folder:
        try:
            if missing:
                raise CouldNotRun(f'not built: {missing}; run the build of deploy/system.toml')
            code, reason = asyncio.run(run(pathlib.Path(folder)))
        except Exception as failure:
            # Whatever goes wrong in the case itself says nothing of the rule.
            traceback.print_exc()
            code, reason = COULD_NOT_RUN, f'{type(failure).__name__}: {failure}'
        if os.environ.get('SHOW_LOGS'):
            for log in pathlib.Path(folder).glob('*.log'):
                sys.stderr.write(f'== {log.name}\n{log.read_text()}')
    word = {HELD: 'held', BROKEN: 'broken', COULD_NOT_RUN: "couldn't run"}[code]
    record.write(f'result: {word}: {reason}')
    record.close()
    print(f'{word}: {reason}')
    sys.exit(code)


def next_ids(prefix):
    number = 0
    while True:
        number += 1
        yield f'{prefix}{number:06x}'


__all__ = [name for name in dir() if not name.startswith('_')]
