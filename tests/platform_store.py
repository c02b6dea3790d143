"""An in-memory stand-in for the platform's store over HTTP."""

import asyncio
import contextlib
import json
from http import HTTPStatus
from urllib.parse import parse_qs

import attrs

from catkindrift.clock import SystemClock
from catkindrift.http1 import HttpServer, Response


@attrs.define(eq=False)
class PlatformStore:
    """Objects by kind and name, one revision counter, pages and watches.

    Faults are injected by fields: `is_down` makes calls fail with 503,
    `is_silent` never responds, `refused_kinds` are kinds whose reads fail with
    503, `lost_writes` is the number of next writes that
    take effect without a response, and `part_pause_s` is the delay in seconds
    between the chunks of a watch response.
    """

    page_size: int = 50
    is_down: bool = False
    is_silent: bool = False
    refused_kinds: set = attrs.field(factory=set)
    lost_writes: int = 0
    part_pause_s: float = 0
    revision: int = 1
    oldest_revision: int = 0
    era: int = 0
    calls: list = attrs.field(factory=list)
    _objects: dict = attrs.field(factory=dict)
    _log: list = attrs.field(factory=list)
    _changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _server: HttpServer = attrs.field(init=False)

    async def start(self, port):
        self._server = HttpServer(SystemClock(), self.handle)
        await self._server.start('127.0.0.1', port)

    def close(self):
        self._server.close()

    async def put(self, kind, name, spec):
        """Create or replace an object."""
        self.revision += 1
        metadata = {'name': name, 'revision': self.revision}
        document = {'metadata': metadata, 'spec': spec, 'status': None}
        self._objects[kind, name] = document
        await self._record_event(kind, document, deleted=False)

    async def delete(self, kind, name):
        """Remove an object."""
        document = self._objects.pop((kind, name))
        self.revision += 1
        await self._record_event(kind, document, deleted=True)

    def names(self, kind):
        """Return the names of all objects of a kind."""
        return sorted(name for each, name in self._objects if each == kind)

    def copy(self):
        """Return a copy of the present state, for `restore`."""
        return dict(self._objects), list(self._log), self.revision

    async def restore(self, copied):
        """Come back from a copy: later changes are lost, a new era begins."""
        objects, log, revision = copied
        self._objects = objects
        self._log = log
        self.revision = revision
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def specs(self, kind):
        """Return the names and specs of all objects of a kind."""
        return [
            (name, self._objects[kind, name]['spec'])
            for name in self.names(kind)
        ]

    async def compact(self):
        """Drop the history; watches of older revisions get 410."""
        self.oldest_revision = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _record_event(self, kind, document, *, deleted):
        async with self._changed:
            event = {'deleted': deleted, 'object': document}
            self._log.append((self.revision, kind, event))
            self._changed.notify_all()

    async def handle(self, request):
        response = await self._handle(request)
        response.headers.append((b'Store-Era', b'%d' % self.era))
        return response

    async def _handle(self, request):
        query = {
            key: found[0]
            for key, found in parse_qs(request.query.decode()).items()
        }
        self.calls.append((request.method.decode(), request.path, query))
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.is_down:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        kind, _, name = request.path.removeprefix('/objects/').partition('/')
        if request.method == b'GET':
            if kind in self.refused_kinds:
                return Response(HTTPStatus.SERVICE_UNAVAILABLE)
            if 'watch' in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get('after', ''))
        return await self._write(request, kind, name)

    def _list(self, kind, after):
        names = [name for name in self.names(kind) if name > after]
        page = names[: self.page_size]
        return _json(
            HTTPStatus.OK,
            {
                'items': [self._objects[kind, name] for name in page],
                'has_more': len(names) > len(page),
                'current_rev': self.revision,
            },
        )

    async def _watch(self, kind, query):
        since = int(query['watch'])
        limit = int(query['wait_ms']) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        since < self.oldest_revision
                        or since > self.revision
                        or self._events_since(kind, since)
                    ),
                )
        if since < self.oldest_revision or since > self.revision:
            return _json(HTTPStatus.GONE, {})
        answer = _json(
            HTTPStatus.OK,
            {
                'events': self._events_since(kind, since),
                'current_rev': self.revision,
            },
        )
        if self.part_pause_s:
            chunks = SlowChunks(answer.body, self.part_pause_s)
            return Response(
                HTTPStatus.OK, length=len(answer.body), body_stream=chunks
            )
        return answer

    def _events_since(self, kind, since):
        return [
            event
            for revision, each, event in self._log
            if each == kind and revision > since
        ]

    async def _write(self, request, kind, name):
        while not request.body.is_complete:
            await asyncio.sleep(0)
        document = json.loads(request.body.buffered_body)
        name = name or document['metadata']['name']
        exists = (kind, name) in self._objects
        if request.method == b'POST' and exists:
            return _json(HTTPStatus.CONFLICT, self._objects[kind, name])
        await self.put(kind, name, document['spec'])
        if self.lost_writes:
            self.lost_writes -= 1
            await asyncio.sleep(3600)
        return _json(HTTPStatus.OK, self._objects[kind, name])


@attrs.define(eq=False)
class StoreProxy:
    """A proxy of a store that simulates a partition with 503 responses."""

    store: PlatformStore
    is_partitioned: bool = False
    _server: HttpServer = attrs.field(init=False)

    async def start(self, port):
        self._server = HttpServer(SystemClock(), self._handle)
        await self._server.start('127.0.0.1', port)

    def close(self):
        self._server.close()

    async def _handle(self, request):
        if not self.is_partitioned:
            answer = await self.store.handle(request)
        if self.is_partitioned:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        return answer


@attrs.define(eq=False)
class SlowChunks:
    """Yields a response body in ten chunks, as over a slow link."""

    content: bytes
    pause_s: float
    sent: int = 0

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.sent >= len(self.content):
            raise StopAsyncIteration
        await asyncio.sleep(self.pause_s)
        size = -(-len(self.content) // 10)
        chunk = self.content[self.sent : self.sent + size]
        self.sent += size
        return chunk

    def close(self):
        self.sent = len(self.content)


def _json(status, document):
    return Response(status, [], json.dumps(document).encode())
