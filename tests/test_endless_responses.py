"""Upstreams that send bytes without end, with real connections."""

import asyncio
import time

import pytest

from tests.platform_deployment import ask, deployed, head

# Bytes that the sockets' buffers hold besides those that are read.
BUFFERED_BYTES = 8_000_000
DEADLINE_S = 2
JUNK = b'x' * 1000
CHUNK = b'3e8\r\n%b\r\n' % JUNK
SIGNED = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


@pytest.mark.parametrize(
    ('response', 'endless'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'Junk: %b\r\n' % JUNK),
        (b'HTTP/1.1 200 OK\r\nJunk: ', JUNK),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 20),
        (SIGNED % b'other', CHUNK),
        (
            b'%b5\r\nhello\r\n0\r\n' % (SIGNED % b'a1'),
            b'Junk: %b\r\n' % JUNK,
        ),
        (b'%b5;junk=' % (SIGNED % b'a1'), JUNK),
    ],
    ids=['headers', 'header', 'interim', 'other', 'trailers', 'extension'],
)
def test_endless_bytes_are_not_read_until_the_deadline(
    tmp_path, response, endless
):
    """Another upstream serves the request, and the connection is closed."""

    async def scenario():
        async with deployed(tmp_path, upstreams=2) as deployment:
            for upstream in deployment.upstreams:
                upstream.script = [response]
            first, second = deployment.upstreams
            first.endless = endless
            second.script = []
            for number in range(20):
                request = head(f'/safe/{number}').replace(
                    b'Affinity-Key=17', b'Affinity-Key=%d' % number
                )
                began_s = time.monotonic()
                assert (await ask(deployment.address(), request))[0] == 200
                assert time.monotonic() - began_s < DEADLINE_S / 2
                if first.requests:
                    break
            assert first.requests
            await asyncio.sleep(0.2)
            sent_bytes = first.endless_bytes
            assert sent_bytes < BUFFERED_BYTES
            await asyncio.sleep(0.2)
            assert first.endless_bytes == sent_bytes

    run(scenario())


def test_endless_body_ends_at_the_deadline(tmp_path):
    """Guard against a response that goes on as long as the caller reads."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            upstream = deployment.upstreams[0]
            upstream.script = [SIGNED % b'a1']
            upstream.endless = CHUNK
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            writer.write(head('/safe/x'))
            async with asyncio.timeout(DEADLINE_S + 1):
                received = b'x'
                while received:
                    received = await reader.read(1_000_000)
            writer.close()
            await asyncio.sleep(0.2)
            sent_bytes = upstream.endless_bytes
            await asyncio.sleep(0.2)
            assert upstream.endless_bytes == sent_bytes

    run(scenario())
