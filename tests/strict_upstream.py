"""Upstream that parses requests strictly and keeps them as received."""

import asyncio
import contextlib
import re

import attrs

_REQUEST_LINE = re.compile(rb'([A-Z-]+) (\S+) HTTP/1\.1')
_HEADER = re.compile(rb"([\w!#$%&'*+.^`|~-]+): ([^\x00-\x08\x0a-\x1f\x7f]*)")
_CHUNK_SIZE = re.compile(rb'[0-9a-fA-F]+')


class ViolationError(Exception):
    """A request that a strict parser refuses."""


@attrs.frozen
class Seen:
    """A request as it arrived; `headers` are pairs with names in lower case."""

    method: bytes
    target: bytes
    headers: tuple
    body: bytes

    def lines(self, name):
        """Return the values of all lines of a header."""
        return [found for key, found in self.headers if key == name]


@attrs.define(eq=False)
class StrictUpstream:
    """Serves both interfaces; one request at a time on a connection.

    Args:
        id: Name in the store, and instance id on the platform.
        extra: Lines that each response has besides.
        status: Status of its responses.
        reply: Bytes of its next responses, instead of usual ones; the
            connection closes after each if `closes` is set.
        closes: Whether connections close after such a response.
        seen: Requests that have run.
        violations: What a strict parser refuses, with the bytes.
    """

    id: str
    extra: bytes = b''
    status: bytes = b'200 OK'
    reply: bytes = b''
    closes: bool = False
    seen: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set = attrs.field(factory=set)

    @property
    def spec(self):
        """Return its entry in the platform's store."""
        return {
            'address': f'127.0.0.1:{self.port}',
            'info': {
                'service': 'tariffs',
                'version': 'v1',
                'zone': 'ovd-a',
                'slots': 8,
            },
            'status': {'state': 'ready', 'seq_no': 1, 'cold_left_s': 0},
        }

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while await self._answer(reader, writer):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer):
        raw = await reader.readuntil(b'\r\n\r\n')
        try:
            seen = await _read_request(reader, raw)
        except ViolationError as violation:
            self.violations.append((str(violation), raw))
            return False
        if seen.target == b'/health':
            writer.write(
                b'HTTP/1.1 200 OK\r\nInstance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.id.encode()
            )
            return True
        self.seen.append(seen)
        if self.reply:
            writer.write(self.reply)
            return not self.closes
        attempt = b''.join(seen.lines(b'attempt-id'))
        body = b'' if seen.method == b'HEAD' else b'hello'
        writer.write(
            b'HTTP/1.1 %b\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n%b'
            b'Content-Length: 5\r\n\r\n%b'
            % (self.status, attempt, self.extra, body)
        )
        return True


async def _read_request(reader, raw):
    first, *lines = raw.removesuffix(b'\r\n\r\n').split(b'\r\n')
    request_line = _REQUEST_LINE.fullmatch(first)
    if not request_line:
        raise ViolationError('request line')
    found = [_HEADER.fullmatch(line) for line in lines]
    if not all(found):
        raise ViolationError('header line')
    headers = tuple((each[1].lower(), each[2].strip()) for each in found)
    seen = Seen(request_line[1], request_line[2], headers, b'')
    if len(seen.lines(b'host')) != 1:
        raise ViolationError('host')
    body = await _read_body(reader, seen)
    return attrs.evolve(seen, body=body)


async def read_response(reader, raw):
    """Return status, headers without framing, and body of a response.

    Args:
        reader: Stream that holds the body, and nothing behind it.
        raw: The head.
    """
    first, *lines = raw.removesuffix(b'\r\n\r\n').split(b'\r\n')
    found = [_HEADER.fullmatch(line) for line in lines]
    if not all(found):
        raise ViolationError('header line')
    headers = tuple((each[1].lower(), each[2].strip()) for each in found)
    seen = Seen(b'', b'', headers, b'')
    body = await _read_body(reader, seen)
    if await reader.read():
        raise ViolationError('bytes behind the response')
    framing = {b'connection', b'content-length', b'transfer-encoding'}
    kept = tuple(each for each in headers if each[0] not in framing)
    return int(first.split(b' ')[1]), kept, body


async def _read_body(reader, seen):
    lengths = seen.lines(b'content-length')
    codings = seen.lines(b'transfer-encoding')
    if len(lengths) + len(codings) > 1:
        raise ViolationError('framing')
    if codings:
        if codings != [b'chunked']:
            raise ViolationError('transfer coding')
        return await _read_chunks(reader)
    if not lengths:
        return b''
    if not lengths[0].isdigit():
        raise ViolationError('length')
    return await reader.readexactly(int(lengths[0]))


async def _read_chunks(reader):
    body = b''
    while True:
        line = (await reader.readuntil(b'\r\n')).removesuffix(b'\r\n')
        if not _CHUNK_SIZE.fullmatch(line):
            raise ViolationError('chunk size')
        size = int(line, 16)
        body += await reader.readexactly(size)
        if await reader.readexactly(2) != b'\r\n':
            raise ViolationError('chunk end or trailer')
        if not size:
            return body
