"""Memory that heads of requests take, summed over connections."""

import asyncio

from catkindrift.clock import SystemClock
from catkindrift.http1 import HeldHeads, HttpServer, Response
from tests.platform_deployment import ask, free_port, read_answer

START = b'GET / HTTP/1.1\r\nHost: x\r\n'
TINY_HEADERS = b'%b%b' % (START, b'X: 1\r\n' * 1000)
SMALL = b'%b\r\n' % START


class Holder:
    """Connection on which a head is arriving."""

    def __init__(self):
        self.refused = 0

    def refuse_partial_head(self):
        self.refused += 1


def test_largest_heads_are_refused_first():
    """Small heads of ordinary callers must outlast a crowd of large ones."""
    held = HeldHeads(1000)
    small, large, larger = Holder(), Holder(), Holder()
    held.set_partial(small, 50)
    held.set_partial(large, 600)
    held.set_partial(larger, 700)
    assert (small.refused, large.refused, larger.refused) == (0, 0, 1)
    held.add_request(500)
    held.set_partial(small, 60)
    assert (small.refused, large.refused) == (0, 1)
    held.remove_request(500)
    assert not held.is_full


def serve(handler, check, held):
    """Run a server while a check talks to it."""

    async def scenario():
        address = ('127.0.0.1', free_port())
        server = HttpServer(SystemClock(), handler, held=held)
        await server.start(*address)
        await check(address)
        server.close()

    asyncio.run(scenario())


def test_heads_that_arrive_slowly_are_bounded_in_sum():
    """Many heads within the limit, never completed, took all memory."""
    held = HeldHeads(400_000)

    async def respond(_request):
        return Response(200)

    async def check(address):
        clients = [await asyncio.open_connection(*address) for _ in range(6)]
        for _, writer in clients:
            writer.write(TINY_HEADERS)
        reads = [
            asyncio.create_task(read_answer(reader)) for reader, _ in clients
        ]
        done, _ = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
        assert {each.result()[0] for each in done} == {503}
        assert not held.is_full
        assert (await ask(address, SMALL))[0] == 200
        for each in reads:
            each.cancel()

    serve(respond, check, held)


def test_requests_ahead_are_parsed_as_responses_are_sent():
    """One read could begin thousands of requests at a time."""
    count = 500
    running = []
    most = []

    async def respond(request):
        running.append(request)
        most.append(len(running))
        await asyncio.sleep(0.001)
        running.remove(request)
        return Response(200)

    async def check(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(SMALL * count)
        statuses = [(await read_answer(reader))[0] for _ in range(count)]
        assert set(statuses) == {200}
        writer.close()

    serve(respond, check, HeldHeads())
    # 32 requests, and those of the slice that brought the last of them.
    assert max(most) <= 32 + 2048 // len(SMALL) + 1
