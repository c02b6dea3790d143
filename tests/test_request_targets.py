"""Targets that two recipients may read differently are refused."""

import asyncio

import pytest

from tests.platform_deployment import SAFE, UNSAFE, ask, head
from tests.test_callers import WHOLE, receive_until, request
from tests.test_connection_options import seen_by, strict_deployment

REFUSED = (
    'http://other.example/unsafe/x',
    'http://me@quotes.example/unsafe/x',
    'http://quotes.example:81/unsafe/x',
    'ftp://quotes.example/unsafe/x',
    'http:///unsafe/x',
    'http://?x=/unsafe/x',
    'http://other.example?x=/unsafe/x',
    '/unsafe/x#part',
    'unsafe/x',
)
TAKEN = (
    ('http://quotes.example/unsafe/x?y=1', '/unsafe/x?y=1'),
    ('HTTP://Quotes.Example/unsafe//x', '/unsafe//x'),
    ('/unsafe/x?y=http://other.example/', '/unsafe/x?y=http://other.example/'),
    ('/unsafe/x?', '/unsafe/x?'),
)


@pytest.mark.parametrize(
    ('target', 'origin'),
    [
        ('http://quotes.example', '/'),
        ('http://quotes.example?y=/z', '/?y=/z'),
        ('HTTP://quotes.example?', '/?'),
    ],
)
def test_empty_path_is_the_root(tmp_path, target, origin):
    """A proper request got 400; it runs if a route has the root."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            status, _, _ = await ask(deployment.address(), head(target, 'POST'))
            assert status == 404
            root = {**UNSAFE, 'path_prefix': '/'}
            await deployment.configure(2, [root, SAFE, UNSAFE])
            async with asyncio.timeout(5):
                while status == 404:
                    await asyncio.sleep(0.02)
                    status, _, _ = await ask(
                        deployment.address(), head(target, 'POST')
                    )
            assert status == 200
            assert seen_by(deployment)[-1].target == origin.encode()

    asyncio.run(scenario())


def test_target_of_another_host_is_refused(tmp_path):
    """The route is found by Host, the upstream may read the target."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            for target in REFUSED:
                status, _, _ = await ask(
                    deployment.address(), head(target, 'POST')
                )
                assert status == 400, target
            assert not seen_by(deployment)
            for target, origin in TAKEN:
                status, _, _ = await ask(
                    deployment.address(), head(target, 'POST')
                )
                assert status == 200, target
                assert seen_by(deployment)[-1].target == origin.encode()

    asyncio.run(scenario())


@pytest.mark.parametrize('target', ['http://y/services/aim/x', '/services/#x'])
def test_own_interface_refuses_them_too(connect, serve, target):
    """The host of the target would be passed on as another one in Host."""
    upstream, _ = serve('aim', WHOLE)
    connection = connect()
    connection.sendall(request(target))
    assert receive_until(connection, b'}').startswith(b'HTTP/1.1 400')
    assert not upstream.requests
