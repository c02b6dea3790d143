"""A fake upstream of the platform, with scripted faults."""

import asyncio
import contextlib
import time
from collections.abc import Callable

import attrs

PART_BYTES = 40_000


@attrs.define(eq=False)
class PlatformUpstream:
    """Serves one request at a time on each connection.

    Args:
        id: Name in the store, and instance id.
        service: Service that it serves.
        zone: Availability zone.
        state: State in its status.
        cold_left_s: Remaining cold start in its status, in seconds.
        delay_s: Delay before each response, in seconds.
        health_delay_s: Delay before each response to a health check, in
            seconds.
        rest_delay_s: Delay before the last byte of each response, in seconds.
        draw_delay: Returns the delay of one response instead.
        body: Body of the responses that are not scripted.
        cut_ids: Ids of the requests whose client disconnected.
        began_ids: Ids of the requests that it began to work on.
        broken_ids: Ids of the requests that its end broke off.
        large_body: Body of responses for targets that contain ``large``.
        part_pause_s: Pause between the parts of a large body, in seconds.
        slots: Slots that it registers.
        keeps_deadlines: Whether it responds with 504 at a request's deadline.
        script: Next responses: bytes, a function of upstream and attempt id,
            or None, which resets the connection. Then it responds with 200.
        requests: Start line, headers and body of the received requests.
        cut: Number of requests whose client disconnected during the delay.
        connections: Number of accepted connections.
        on_lost: Called with the id when a connection ends.
        host: Address to listen on.
        ends_at: Part of a target; a request for it ends the process.
        has_ended: Whether such a request has ended the process.
        crashes: Number of times that the process has ended.
        on_end: Called with the upstream when its process has ended.
        born_ms: Unix time of the process start; 0 to state none.
        limit: Requests per second that each response names; empty for none.
        endless: Bytes that follow each response again and again.
        endless_bytes: Number of such bytes that were sent.
        is_leaving: Whether each response states that it is shutting down.
        arrivals_s: Times at which requests arrived.
        restarts_s: Times at which its process has started again.
        port: Port that it listens on.
    """

    id: str
    service: str
    zone: str = 'ovd-a'
    state: str = 'ready'
    cold_left_s: float = 0
    delay_s: float = 0
    health_delay_s: float = 0
    rest_delay_s: float = 0
    draw_delay: Callable | None = None
    body: bytes = b'hello'
    cut_ids: set = attrs.field(factory=set)
    began_ids: list = attrs.field(factory=list)
    broken_ids: set = attrs.field(factory=set)
    large_body: bytes = b''
    part_pause_s: float = 0
    slots: int = 4
    keeps_deadlines: bool = False
    script: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)
    cut: int = 0
    connections: int = 0
    on_lost: Callable = attrs.field(default=lambda _id: None)
    host: str = '127.0.0.1'
    ends_at: bytes = b''
    has_ended: bool = False
    crashes: int = 0
    on_end: Callable = attrs.field(default=lambda _upstream: None)
    born_ms: int = 0
    limit: str = ''
    endless: bytes = b''
    endless_bytes: int = 0
    is_leaving: bool = False
    arrivals_s: list = attrs.field(factory=list)
    restarts_s: list = attrs.field(factory=list)
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set = attrs.field(factory=set)
    _running: set = attrs.field(factory=set)

    @property
    def is_idle(self):
        """Return whether it works on no request."""
        return not self._running

    @property
    def spec(self):
        born = {'born': self.born_ms} if self.born_ms else {}
        return {
            **born,
            'address': f'{self.host}:{self.port}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq_no': 1,
                'cold_left_s': self.cold_left_s,
            },
        }

    async def start(self, port=0):
        if self.has_ended:
            self.restarts_s.append(time.monotonic())
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    def end(self):
        """Reset all connections, as when the process is killed."""
        self.has_ended = True
        self.crashes += 1
        self.broken_ids |= self._running
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self.on_end(self)

    def ok(self, attempt, body=b'hello', extra=b''):
        """Return the bytes of a complete, signed response."""
        if self.is_leaving:
            extra = b'%bServer-Leaving: 1\r\n' % extra
        if self.limit:
            extra += b'Server-Limit: %b\r\n' % self.limit.encode()
        return (
            b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n'
            b'Server-Load: 1,0,4\r\n%bContent-Length: %d\r\n\r\n%b'
            % (attempt, extra, len(body), body)
        )

    def _health(self):
        body = b'{"born":%d}' % self.born_ms if self.born_ms else b''
        return (
            b'HTTP/1.1 200 OK\r\nInstance-Id: %b\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (self.id.encode(), len(body), body)
        )

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(reader, writer, head)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            self._writers.discard(writer)
            writer.close()
            self.on_lost(self.id)

    async def _answer(self, reader, writer, head):
        lines = head.split(b'\r\n')
        headers = dict(
            line.lower().split(b': ', 1) for line in lines[1:] if line
        )
        body = await _read_body(reader, headers)
        if lines[0].startswith(b'GET /health '):
            await asyncio.sleep(self.health_delay_s)
            writer.write(self._health())
            return
        self.requests.append((lines[0], headers, body))
        self.arrivals_s.append(time.monotonic())
        attempt = headers.get(b'attempt-id', b'')
        if headers.get(b'expected-instance') != self.id.encode():
            writer.write(
                b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'
            )
            return
        if self.ends_at and self.ends_at in lines[0]:
            self.end()
            return
        self.began_ids.append(attempt.decode())
        self._running.add(attempt.decode())
        with contextlib.ExitStack() as stack:
            stack.callback(self._running.discard, attempt.decode())
            await self._work(reader, writer, lines[0], headers)

    async def _work(self, reader, writer, start_line, headers):
        attempt = headers.get(b'attempt-id', b'')
        delay_s = self.draw_delay() if self.draw_delay else self.delay_s
        left_s = int(headers.get(b'deadline-remaining', b'0')) / 1000
        is_late = self.keeps_deadlines and delay_s > left_s
        await self._wait(
            reader, writer, attempt, left_s if is_late else delay_s
        )
        if is_late:
            writer.write(self.ok(attempt, b'').replace(b'200 OK', b'504 Late'))
            return
        body = self.large_body if b'large' in start_line else self.body
        reply = self.script.pop(0) if self.script else self.ok(attempt, body)
        if callable(reply):
            reply = reply(self, attempt)
        if reply is None:
            writer.transport.abort()
            raise ConnectionResetError
        if self.rest_delay_s:
            writer.write(reply[:-1])
            await self._wait(reader, writer, attempt, self.rest_delay_s)
            reply = reply[-1:]
        await self._write(writer, reply)
        while self.endless:
            writer.write(self.endless)
            await writer.drain()
            self.endless_bytes += len(self.endless)
        if b'Connection: close' in reply:
            await writer.drain()
            writer.close()
            raise ConnectionResetError

    async def _wait(self, reader, writer, attempt, delay_s):
        """Wait, unless the client disconnects."""
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=delay_s)
        if done:
            self.cut += 1
            is_cut = writer in self._writers
            ids = self.cut_ids if is_cut else self.broken_ids
            ids.add(attempt.decode())
            raise ConnectionResetError
        closed.cancel()
        await asyncio.wait({closed})

    async def _write(self, writer, reply):
        """Write a reply, in parts if it is long and parts have pauses."""
        size = PART_BYTES if self.part_pause_s else len(reply) or 1
        for first in range(0, len(reply), size):
            writer.write(reply[first : first + size])
            if self.part_pause_s:
                await writer.drain()
                await asyncio.sleep(self.part_pause_s)


async def _read_body(reader, headers):
    if headers.get(b'transfer-encoding') == b'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get(b'content-length', 0)))


def shed(_upstream, _attempt):
    """Return a refusal which states that the request was not executed."""
    return (
        b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
