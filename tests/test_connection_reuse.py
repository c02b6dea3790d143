"""When a connection to an upstream may be used again."""

import asyncio
import contextlib
from types import MappingProxyType

import pytest

from catkindrift.http1 import ClientConnection, ResponseReceiver
from tests.raw_upstream import RawUpstream

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


@pytest.mark.parametrize(('lines', 'is_reusable'), REUSE.items())
def test_connection_that_closes_is_not_reused(lines, is_reusable):
    """The next request would cross the close of the upstream."""

    async def scenario(port):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, '127.0.0.1', port
        )
        receiver = ResponseReceiver(lambda _: True, connection.resume_reading)
        connection.expect_response(receiver)
        connection.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(5):
            await receiver.wait_for_body(3)
        assert connection.is_reusable == is_reusable
        connection.abort()

    upstream = RawUpstream(lines + LENGTH, is_kept_open=True)
    with contextlib.ExitStack() as stack:
        stack.callback(upstream.stop)
        asyncio.run(scenario(upstream.port))
