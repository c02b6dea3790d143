"""Offers of another protocol: they are ignored, the request runs as sent.

Guards against a body that is taken for data of the other protocol: it ran as
a request of its own, or the request was refused for it.
"""

import asyncio
import contextlib
from types import MappingProxyType

import pytest

from tests.platform_deployment import head, read_answer
from tests.test_callers import WHOLE, receive_until, request
from tests.test_connection_options import HIDDEN, path_of, take_seen

OFFER = 'Connection: Upgrade\r\nUpgrade: h2c\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'
LENGTH = f'Content-Length: {len(HIDDEN)}\r\n'
CHUNKS = b'%x;a=b\r\n%b\r\n0\r\nX-Late: 1\r\n\r\n' % (len(HIDDEN), HIDDEN)
FRAMINGS = MappingProxyType(
    {
        'length': (LENGTH, HIDDEN),
        'chunks': (CHUNKED, CHUNKS),
        'none': ('', b''),
        'empty': ('Content-Length: 0\r\n', b''),
    }
)


@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('framing', FRAMINGS)
def test_request_runs_whole_beside_an_offer(tmp_path, framing, is_cut):
    """Both requests on the connection run once, however they are split."""
    extra, encoded = FRAMINGS[framing]
    body = HIDDEN if encoded else b''
    first = head('/unsafe/x', 'POST', extra=f'{OFFER}{extra}') + encoded
    sent = first + head('/unsafe/y', 'POST', attempt='a2')

    async def exchange(address, *parts):
        reader, writer = await asyncio.open_connection(*address)
        with contextlib.closing(writer):
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.01)
            async with asyncio.timeout(5):
                return [(await read_answer(reader))[0] for _ in range(2)]

    async def scenario():
        async with path_of(tmp_path, is_cut) as deployment:
            end = len(first) - len(encoded)
            for cut in (1, end - 1, end, end + 1, len(first) - 1, len(sent)):
                parts = sent[:cut], sent[cut:]
                statuses = await exchange(deployment.address(), *parts)
                assert statuses == [200, 200], cut
                seen = {
                    (each.target, each.body) for each in take_seen(deployment)
                }
                assert seen == {(b'/unsafe/x', body), (b'/unsafe/y', b'')}, cut

    asyncio.run(scenario())


def test_own_interface_serves_it_too(connect, serve):
    """The same parser reads the requests of the product's own interface."""
    upstream, _ = serve('offered', WHOLE, until=HIDDEN)
    connection = connect()
    extra = f'{OFFER}{LENGTH}'
    connection.sendall(request('/services/offered/x', 'POST', extra) + HIDDEN)
    assert receive_until(connection, b'abcd').startswith(b'HTTP/1.1 200')
    assert upstream.requests[0].endswith(HIDDEN)
    assert b'upgrade' not in upstream.requests[0].lower()
