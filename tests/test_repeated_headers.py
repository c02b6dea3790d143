"""Headers that a message may have once: of two, recipients may read either."""

import asyncio
from types import MappingProxyType

import pytest

from tests.platform_deployment import ask
from tests.test_callers import WHOLE, receive_until, request
from tests.test_connection_options import seen_by, strict_deployment

HOST = 'Host: quotes.example\r\n'
PROPER = f'{HOST}Attempt-Id: a1\r\nDeadline-Remaining: 900\r\n'
AMBIGUOUS = MappingProxyType(
    {
        'two hosts': f'{PROPER}host: other.example\r\n',
        'the same host twice': f'{PROPER}{HOST}',
        'two ids': f'{PROPER}X: y\r\nATTEMPT-ID: a2\r\n',
        'two deadlines': f'{PROPER}Deadline-Remaining: 9000\r\n',
        'no host': PROPER.replace(HOST, ''),
        'a host with a path': PROPER.replace('example', 'example/x'),
        'a host with a user': PROPER.replace('quotes', 'me@quotes'),
    }
)


def test_ambiguous_head_reaches_no_upstream(tmp_path):
    """The route may be found by one line and the request run by the other."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            for name, lines in AMBIGUOUS.items():
                head = f'POST /unsafe/x HTTP/1.1\r\n{lines}\r\n'
                status, headers, _ = await ask(
                    deployment.address(), head.encode()
                )
                assert (status, headers['connection']) == (400, 'close'), name
                assert not seen_by(deployment), name
            proper = f'POST /unsafe/x HTTP/1.1\r\n{PROPER}X: 1\r\nx: 2\r\n\r\n'
            status, _, _ = await ask(deployment.address(), proper.encode())
            assert status == 200
            assert seen_by(deployment)[0].lines(b'x') == [b'1', b'2']

    asyncio.run(scenario())


def test_response_with_two_ids_is_not_forwarded(tmp_path):
    """The caller might take it for the response to another request."""

    async def scenario():
        extra = b'Attempt-Id: other\r\n'
        async with strict_deployment(tmp_path) as deployment:
            deployment.upstreams[0].extra = extra
            head = f'GET /safe/x HTTP/1.1\r\n{PROPER}\r\n'
            status, headers, _ = await ask(deployment.address(), head.encode())
            assert status in {502, 504}
            assert 'server-signature' not in headers

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'extra',
    [
        'Host: y\r\n',
        'Idempotency-Key: a\r\nidempotency-key: b\r\n',
        'Request-Timeout: 1\r\nRequest-Timeout: 9\r\n',
    ],
)
def test_own_interface_takes_no_ambiguous_head(connect, serve, extra):
    """A key that is read here may not be the one that the upstream reads."""
    upstream, _ = serve('twice', WHOLE)
    connection = connect()
    connection.sendall(request('/services/twice/x', 'POST', extra))
    assert receive_until(connection, b'}').startswith(b'HTTP/1.1 400')
    assert not upstream.requests
