"""Bodies that arrive in many small pieces."""

import asyncio

from catkindrift.clock import SystemClock
from catkindrift.http1 import HttpServer, RequestBody, Response
from tests.platform_deployment import ask, free_port

TABLE = b'a\tb\t\r\n' * 20_000
# A body may be kept in pieces of 16 KiB, and one that is not yet full.
FEW_PIECES = len(TABLE) // 16_384 + 2


class Source:
    """Connection that a body arrives on; never paused."""

    def set_paused(self, reason, *, is_paused):
        """Ignore the request to pause."""

    def send_continue(self):
        """Ignore that the body is wanted."""


async def pieces_of(body):
    """Return all pieces of a body, as they arrive."""
    pieces = []
    while piece := await body.read_chunk(len(pieces)):
        pieces.append(piece)
    return pieces


def read(body):
    """Return all pieces of a body."""

    async def scenario():
        return await pieces_of(body)

    return asyncio.run(scenario())


def test_small_pieces_are_joined():
    """A body in pieces of one byte must not take an object for each."""
    body = RequestBody(Source(), is_chunked=True, length=0)
    for index, _ in enumerate(TABLE):
        body.add_chunk(TABLE[index : index + 1])
    body.finish()
    pieces = read(body)
    assert b''.join(pieces) == TABLE
    assert len(pieces) <= FEW_PIECES


def test_pieces_that_were_read_stay_as_they_are():
    """What an upstream has got must be sent again alike."""

    async def scenario():
        body = RequestBody(Source(), is_chunked=True, length=0)
        body.add_chunk(b'ab')
        assert await body.read_chunk(0) == b'ab'
        body.add_chunk(b'c')
        body.add_chunk(b'd')
        assert await body.read_chunk(0) == b'ab'
        assert await body.read_chunk(1) == b'cd'
        body.finish()
        assert await body.read_chunk(2) is None
        assert body.buffered_body == b'abcd'

    asyncio.run(scenario())


def test_table_with_tabs_arrives_in_few_pieces():
    """Tabs at the ends of lines split an upload into hundreds of thousands."""
    counts = []

    async def count_pieces(request):
        pieces = await pieces_of(request.body)
        assert b''.join(pieces) == TABLE
        counts.append(len(pieces))
        return Response(200)

    async def scenario():
        port = free_port()
        server = HttpServer(SystemClock(), count_pieces)
        await server.start('127.0.0.1', port)
        sized = b'Content-Length: %d\r\n\r\n%b' % (len(TABLE), TABLE)
        chunked = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
            len(TABLE),
            TABLE,
        )
        for framed in (sized, chunked):
            request = b'POST / HTTP/1.1\r\nHost: x\r\n%b' % framed
            assert (await ask(('127.0.0.1', port), request))[0] == 200
        server.close()

    asyncio.run(scenario())
    # Pieces that are read as they arrive are no larger than a read.
    assert counts[0] <= len(TABLE) // 1024
    assert counts[1] <= len(TABLE) // 1024
