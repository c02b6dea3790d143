"""Stand-in for the platform's metadata store (PROTOCOL.md), in memory."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from http_server import HttpStandIn

PAGE = 50


class Store(HttpStandIn):
    """Objects by kind and name, one revision counter, lists and watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}
        self.log = []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec, status=None):
        """Create or replace an object, as the operator or a backend does."""
        known = self.objects.get((kind, name))
        if known and known['spec'] == spec and known['status'] == status:
            return known
        self.revision += 1
        document = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': known['metadata']['created']
                if known
                else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[kind, name] = document
        await self._record(kind, document, deleted=False)
        return document

    def count(self, kind):
        """Return the number of objects of a kind."""
        return sum(each == kind for each, _ in self.objects)

    async def delete(self, kind, name):
        """Remove an object."""
        document = self.objects.pop((kind, name), None)
        if document is None:
            return
        self.revision += 1
        metadata = {**document['metadata'], 'revision': self.revision}
        await self._record(
            kind, {**document, 'metadata': metadata}, deleted=True
        )

    async def _record(self, kind, document, *, deleted):
        async with self.changed:
            event = {'object': document, 'deleted': deleted}
            self.log.append((self.revision, kind, event))
            self.changed.notify_all()

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        steps = [unquote(step) for step in parts.path.split('/')]
        kind = steps[2] if len(steps) > 2 else ''
        name = steps[3] if len(steps) > 3 else ''
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and name:
            found = self.objects.get((kind, name))
            return _json(200, found) if found else _json(404, {})
        if method == 'GET':
            return self._list(kind, query.get('after', ''))
        if method == 'DELETE':
            await self.delete(kind, name)
            return _json(200, {})
        return await self._write(method, kind, name, json.loads(body))

    async def _write(self, method, kind, name, document):
        metadata = document.get('metadata', {})
        name = name or metadata['name']
        known = self.objects.get((kind, name))
        if method == 'POST' and known:
            return _json(409, known)
        if method == 'PUT' and known is None:
            return _json(404, {})
        stated = metadata.get('revision')
        if known and stated and stated != known['metadata']['revision']:
            return _json(409, known)
        status = known['status'] if known else None
        written = await self.put(kind, name, document.get('spec'), status)
        return _json(201 if method == 'POST' else 200, written)

    def _list(self, kind, after):
        names = sorted(
            name for each, name in self.objects if each == kind and name > after
        )
        return _json(
            200,
            {
                'items': [self.objects[kind, name] for name in names[:PAGE]],
                'has_more': len(names) > PAGE,
                'current_rev': self.revision,
            },
        )

    async def _watch(self, kind, query):
        since = int(query['watch'])
        wait_s = min(int(query.get('wait_ms', 0)), 30_000) / 1000
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._events(kind, since))
        except TimeoutError:
            pass
        return _json(
            200,
            {
                'events': self._events(kind, since),
                'current_rev': self.revision,
            },
        )

    def _events(self, kind, since):
        return [
            event
            for revision, each, event in self.log
            if each == kind and revision > since
        ]


def _json(status, document):
    headers = [('Content-Type', 'application/json')]
    return status, headers, json.dumps(document).encode()
