"""Callers of HTTP/1.0."""

import asyncio
import contextlib
from types import MappingProxyType

import pytest

from tests.platform_deployment import deployed, head
from tests.platform_upstream import PART_BYTES
from tests.test_callers import wait_until
from tests.test_connection_options import seen_by, strict_deployment

END = b'0\r\n\r\n'
LONG = b'x' * 10 * PART_BYTES


async def send_and_read(address, request):
    """Send a request; return all bytes up to the close of the connection."""
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer):
        writer.write(request)
        async with asyncio.timeout(5):
            return await reader.read()


def old(request):
    """Return a request as one of HTTP/1.0."""
    return request.replace(b' HTTP/1.1\r\n', b' HTTP/1.0\r\n')


@pytest.mark.parametrize(
    'option', ['keep-alive', 'close, keep-alive', 'Content-Length']
)
def test_old_request_reaches_upstream_unchanged(tmp_path, option):
    """A caller that waits for the close would hang on a kept connection."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            extra = (
                f'Connection: {option}\r\nContent-Length: 3\r\n'
                'Expect: 100-continue\r\n'
            )
            request = old(head('/unsafe/x', 'POST', extra=extra))
            received = await send_and_read(
                deployment.address(), b''.join((request, b'abc'))
            )
            assert received.startswith(b'HTTP/1.1 200')
            assert received.endswith(b'\r\n\r\nhello')
            assert [seen.body for seen in seen_by(deployment)] == [b'abc']

    asyncio.run(scenario())


REFUSED = MappingProxyType(
    {
        'chunks': b'Transfer-Encoding: chunked\r\n',
        'two hosts': b'Host: other.example\r\n',
    }
)


def test_ambiguous_old_request_is_refused(tmp_path):
    """HTTP/1.0 knows no chunks: others may read their bytes as requests."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            for name, lines in REFUSED.items():
                request = old(head('/unsafe/x', 'POST', extra=lines.decode()))
                received = await send_and_read(deployment.address(), request)
                assert received.startswith(b'HTTP/1.1 400'), name
            for version in (b'0.9', b'2.0'):
                request = old(head('/safe/x')).replace(b'1.0', version, 1)
                received = await send_and_read(deployment.address(), request)
                assert received.startswith(b'HTTP/1.1 400'), version
            assert not seen_by(deployment)

    asyncio.run(scenario())


def unframed(_upstream, attempt):
    """Return a response in chunks."""
    return (
        b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%b'
        % (attempt, len(LONG), LONG, END)
    )


def test_old_caller_gets_no_chunks(tmp_path):
    """It would take the sizes of the chunks for a part of the body."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(unframed)
            received = await send_and_read(
                deployment.address(), old(head('/safe/x'))
            )
            first, _, body = received.partition(b'\r\n\r\n')
            assert body == LONG
            assert b'chunked' not in first.lower()

    asyncio.run(scenario())


def cut(_upstream, attempt):
    """Return a response in chunks that breaks off."""
    return unframed(_upstream, attempt).replace(END, b'Connection: close')


def test_broken_response_resets_an_old_caller(tmp_path):
    """The body would look complete if the connection just closed."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for upstream in deployment.upstreams:
                upstream.part_pause_s = 0.02
                upstream.script = [cut, cut]
            with pytest.raises(ConnectionResetError):
                await send_and_read(
                    deployment.address(), old(head('/unsafe/x', 'POST'))
                )

    asyncio.run(scenario())


def test_own_interface_names_the_upstream_as_host(connect, serve):
    """A caller of HTTP/1.0 may leave Host out, this system may not."""
    upstream, _ = serve('hostless', b'HTTP/1.1 200 OK\r\n\r\n')
    connect().sendall(b'GET /services/hostless/x HTTP/1.0\r\n\r\n')
    wait_until(lambda: upstream.requests)
    assert f'Host: 127.0.0.1:{upstream.port}'.encode() in upstream.requests[0]
