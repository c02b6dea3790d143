"""The network paths of one machine, which a cut can take away."""

import asyncio
import json

from http_server import HttpStandIn
from ports import free_port


class PathTo:
    """A relay to one address, used by one machine only.

    While it is cut, connects are refused and open connections are reset.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self.port = free_port()

    async def open(self):
        if self._server is None:
            self._server = await asyncio.start_server(
                self._relay, '127.0.0.1', self.port, backlog=256
            )

    def cut(self):
        if self._server:
            self._server.close()
        self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _relay(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(
                '127.0.0.1', self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, other_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                _copy(reader, other_writer), _copy(other_reader, writer)
            )
        except (ConnectionError, OSError, asyncio.CancelledError):
            for each in pair:
                each.transport.abort()
        finally:
            self._writers -= pair
            for each in pair:
                each.close()


async def _copy(reader, writer):
    while chunk := await reader.read(65_536):
        writer.write(chunk)
        await writer.drain()
    writer.close()


class StoreSeenBy(HttpStandIn):
    """The store as one machine reaches it.

    Backends stand behind paths of that machine's own, so their addresses in
    answers are those of the paths. All else is the store's.
    """

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.paths = {}

    async def start(self):
        """Listen, with a path to each backend that is registered."""
        for (kind, _), found in self._store.objects.items():
            if kind == 'servers':
                port = int(found['spec']['address'].rpartition(':')[2])
                path = self.paths[port] = PathTo(port)
                await path.open()
        await self.listen()

    async def cut_backends(self):
        for path in self.paths.values():
            path.cut()

    async def join_backends(self):
        for path in self.paths.values():
            await path.open()

    def cut_store(self):
        """Refuse connects and reset open connections to the store."""
        self.close()

    async def join_store(self):
        await self.listen(self.port)

    async def handle(self, method, target, headers, body):
        status, more, content = await self._store.handle(
            method, target, headers, body
        )
        document = json.loads(content)
        if target.startswith('/objects/servers'):
            listed = list(document.get('items', ()))
            listed += [each['object'] for each in document.get('events', ())]
            for each in listed:
                self._readdress(each['spec'])
        return status, more, json.dumps(document).encode()

    def _readdress(self, spec):
        host, _, port = spec['address'].rpartition(':')
        path = self.paths.get(int(port))
        if path:
            spec['address'] = f'{host}:{path.port}'
