"""The client for small requests to one server."""

import asyncio

import pytest

from catkindrift.clock import SystemClock
from catkindrift.http1 import HttpClient, HttpServer, Response
from tests.platform_deployment import free_port
from tests.silent_connections import OpenConnections


def test_idle_connections_are_not_reused_after_a_timeout(monkeypatch):
    """After one silent connection, the next call took another silent one."""
    connections = OpenConnections(monkeypatch)

    async def respond(request):
        await asyncio.sleep(0.05)
        return Response(200, [], b'{}')

    async def scenario():
        port = free_port()
        server = HttpServer(SystemClock(), respond)
        await server.start('127.0.0.1', port)
        client = HttpClient('127.0.0.1', port)

        async def ask():
            await client.request('GET', '/', b'', 0.3)

        await asyncio.gather(ask(), ask(), ask())
        assert connections.silence({port}) == 3
        with pytest.raises(TimeoutError):
            await ask()
        await ask()
        server.close()

    asyncio.run(scenario())
