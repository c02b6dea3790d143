"""When a connection to an upstream may be reused, and how responses end."""

import asyncio
import contextlib
from types import MappingProxyType

import pytest

from catkindrift.http1 import (
    ClientConnection,
    ResponseFailure,
    ResponseReceiver,
)
from tests.raw_upstream import RawUpstream

MANY = 1000
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'
LENGTH = b'Content-Length: 2\r\n\r\nok'
REUSE = MappingProxyType(
    {
        b'HTTP/1.1 200 OK\r\n': True,
        b'HTTP/1.1 200 OK\r\nConnection: keep-alive, not-close\r\n': True,
        b'HTTP/1.1 200 OK\r\nConnection: TE\r\nConnection: close\r\n': False,
        b'HTTP/1.1 200 OK\r\nConnection: x, CLOSE\r\n': False,
        b'HTTP/1.0 200 OK\r\n': False,
        b'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n': True,
        b'HTTP/1.0 200 OK\r\nConnection: keep-alive, close\r\n': False,
    }
)


async def receive(port):
    """Send a request; return its connection and the end of its response."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        ClientConnection, '127.0.0.1', port
    )
    receiver = ResponseReceiver(lambda _: True, connection.resume_reading)
    connection.expect_response(receiver)
    connection.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    async with asyncio.timeout(5):
        await receiver.wait_for_body(MANY)
    return connection, receiver


def receive_from(content):
    """Return whether a connection is reusable, and how its response failed."""

    async def scenario(port):
        connection, receiver = await receive(port)
        is_reusable = connection.is_reusable
        connection.abort()
        return is_reusable, receiver.failure

    upstream = RawUpstream(content, is_kept_open=True)
    with contextlib.ExitStack() as stack:
        stack.callback(upstream.stop)
        return asyncio.run(scenario(upstream.port))


@pytest.mark.parametrize(('lines', 'is_reusable'), REUSE.items())
def test_connection_that_closes_is_not_reused(lines, is_reusable):
    """The next request would cross the close of the upstream."""
    assert receive_from(lines + LENGTH) == (is_reusable, None)


@pytest.mark.parametrize(
    'coding', [b'gzip, chunked', b'chunked, gzip', b'gzip', b'chunked\tx', b'x']
)
def test_other_coding_is_no_response(coding):
    """The caller would get the coded body without the name of the coding."""
    content = b'%bTransfer-Encoding: %b\r\n\r\n%b' % (OK, coding, CHUNKS)
    assert receive_from(content) == (False, ResponseFailure.MALFORMED)
    content = b'%bTransfer-Encoding: Chunked\r\n\r\n%b' % (OK, CHUNKS)
    assert receive_from(content) == (True, None)


@pytest.mark.parametrize('blanks', [b' ', b'\t', b' \t ', b'\t\t'])
def test_blanks_behind_a_coding_are_left_out(blanks):
    """A response that an upstream has sent whole would be lost."""
    content = b'%bTransfer-Encoding: chunked%b\r\n\r\n%b' % (
        OK,
        blanks,
        CHUNKS,
    )
    assert receive_from(content) == (True, None)
