"""Trailers are checked by nobody, so they never count as headers."""

import asyncio

from tests.platform_deployment import ask, deployed, head
from tests.test_callers import receive_until, request
from tests.test_connection_options import seen_by, strict_deployment

CHUNKED = 'Transfer-Encoding: chunked\r\n'
TRAILERS = (
    b'3\r\nabc\r\n0\r\nConnection: Content-Type, X-Mine\r\nX-Late: 1\r\n'
    b'catkindrift-caller: 192.0.2.7\r\nHost: other.example\r\n'
    b'Attempt-Id: other\r\n\r\n'
)


def test_trailers_change_no_request(tmp_path):
    """One could name the headers that are removed, or state a second id."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            extra = f'{CHUNKED}Trailer: X-Late\r\nX-Mine: 1\r\n'
            parts = head('/unsafe/x', 'POST', extra=extra), TRAILERS
            status, _, _ = await ask(deployment.address(), b''.join(parts))
            assert status == 200
            for seen in seen_by(deployment):
                assert seen.body == b'abc'
                assert seen.lines(b'x-mine') == [b'1']
                assert seen.lines(b'attempt-id') == [b'a1']
                assert seen.lines(b'host') == [b'quotes.example']
                assert not seen.lines(b'x-late')

    asyncio.run(scenario())


def signed_by_trailers(_upstream, attempt):
    """Return a response whose id and signature are trailers."""
    return (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
        b'0\r\nAttempt-Id: %b\r\nServer-Signature: s\r\n\r\n' % attempt
    )


def test_trailers_sign_no_response(tmp_path):
    """A success without a signature in its head isn't the upstream's."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(signed_by_trailers)
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST')
            )
            assert status == 502

    asyncio.run(scenario())


def test_own_interface_drops_trailers(connect, serve):
    """The upstream's report would be changed after it was read."""
    upstream, _ = serve(
        'trailers',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n'
        b'0\r\nX-Late: 1\r\n\r\n',
        until=b'0\r\n\r\n',
    )
    connection = connect()
    connection.sendall(request('/services/trailers/x', 'POST', CHUNKED))
    connection.sendall(TRAILERS)
    received = receive_until(connection, b'abcd')
    assert b'X-Late' not in received + upstream.requests[0]
