"""Limit on the open connections of a process."""

import asyncio

from catkindrift.clock import SystemClock
from catkindrift.http1 import ConnectionLimit, HttpServer, Response
from tests.platform_deployment import free_port, read_answer

SMALL = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


def test_connection_that_waits_longest_makes_room():
    """Silent clients took all descriptors, and nobody else got in.

    Requests in progress are not cut, nor are those that were used lately.
    """
    may_respond = asyncio.Event()

    async def respond(request):
        if request.path == '/slow':
            await may_respond.wait()
        return Response(200)

    async def scenario():
        address = ('127.0.0.1', free_port())
        server = HttpServer(SystemClock(), respond, limit=ConnectionLimit(4))
        await server.start(*address)
        busy_reader, busy = await asyncio.open_connection(*address)
        busy.write(SMALL.replace(b'/ ', b'/slow '))
        used_reader, used = await asyncio.open_connection(*address)
        silent = [await asyncio.open_connection(*address) for _ in range(2)]
        await asyncio.sleep(0.05)
        used.write(SMALL)
        assert (await read_answer(used_reader))[0] == 200
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(SMALL)
            assert (await read_answer(reader))[0] == 200
        for reader, _ in silent:
            assert not await reader.read()
        used.write(SMALL)
        assert (await read_answer(used_reader))[0] == 200
        may_respond.set()
        assert (await read_answer(busy_reader))[0] == 200
        server.close()

    asyncio.run(scenario())
