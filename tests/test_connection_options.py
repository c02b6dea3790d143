"""What Connection names: no message is changed by it on its way.

Guards against a header that frames, addresses or identifies a message being
removed because a sender lists it in Connection.
"""

import asyncio
import contextlib
import itertools

import pytest

from tests.platform_deployment import ask, deployed, head
from tests.stranded import UpstreamCut
from tests.strict_upstream import StrictUpstream

HIDDEN = (
    b'POST /unsafe/hidden HTTP/1.1\r\nHost: quotes.example\r\n'
    b'Attempt-Id: hidden\r\n\r\n'
)
CHUNKED = 'Transfer-Encoding: chunked\r\n'
CHUNKS = b'3\r\nabc\r\n0\r\n\r\n'
METHODS = ('POST', 'PUT', 'PATCH', 'DELETE', 'GET')
OPTIONS = (
    'Connection: Content-Length\r\n',
    'Connection: keep-alive, \tCONTENT-length \r\n',
    'Connection: keep-alive\r\nX: y\r\nconnection: ,content-length,\r\n',
    'Connection: Attempt-Id\r\n',
    'Connection: Host\r\n',
    'Connection: Deadline-Remaining, close\r\n',
    'Connection: Cookie\r\n',
    'Connection: Content-Type\r\n',
)


@contextlib.asynccontextmanager
async def strict_deployment(folder, extra=b'', vms=1, upstreams=1):
    """Run entry VMs before upstreams that parse strictly."""
    async with deployed(folder, upstreams=0) as deployment:
        for index in range(upstreams):
            upstream = StrictUpstream(f'i-{index}', extra)
            await upstream.start()
            deployment.upstreams.append(upstream)
            await deployment.store.put('servers', upstream.id, upstream.spec)
        for number in range(1, vms):
            await deployment.add_gateway(f'front-{number + 1}')
        await wait_until_served(deployment)
        yield deployment


async def wait_until_served(deployment):
    """Wait until each entry VM passes requests on."""
    for index, _ in enumerate(deployment.gateways):
        request = head('/safe/first')
        status = 0
        while status != 200:
            await asyncio.sleep(0.05)
            status, _, _ = await ask(deployment.address(index=index), request)
    for upstream in deployment.upstreams:
        upstream.seen.clear()


def seen_by(deployment):
    """Return all requests that upstreams have run."""
    violations = [
        found for each in deployment.upstreams for found in each.violations
    ]
    assert not violations
    return [seen for each in deployment.upstreams for seen in each.seen]


def request_with(extra, method='POST', body=HIDDEN):
    """Return a request with a body by length."""
    extra = f'{extra}Content-Length: {len(body)}\r\n'
    return head('/unsafe/x', method, extra=extra) + body


def test_header_for_all_recipients_is_never_removed(tmp_path):
    """The body would run as a request, or a request without an id or host."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            cases = list(itertools.product(OPTIONS, METHODS))
            for options, method in cases:
                status, headers, _ = await ask(
                    deployment.address(), request_with(options, method)
                )
                assert not seen_by(deployment), (options, method)
                assert (status, headers['connection']) == (400, 'close')
            metrics = deployment.gateways[0]._parts.metrics
            counted = metrics.rejected_requests.labels('connection_option')
            assert counted.total == len(cases)

    asyncio.run(scenario())


def test_id_of_a_chunked_request_is_never_removed(tmp_path):
    """A request without an id would run, which no caller has sent."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            extra = f'Connection: attempt-id\r\n{CHUNKED}'
            parts = head('/unsafe/x', 'POST', extra=extra), CHUNKS
            status, _, _ = await ask(deployment.address(), b''.join(parts))
            assert status == 400
            assert not seen_by(deployment)

    asyncio.run(scenario())


def test_proper_options_are_obeyed(tmp_path):
    """Options of several lines and any case end with the connection."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            extra = (
                'Connection: Keep-Alive , TE\r\nTE: trailers\r\n'
                'X-Mine: 1\r\nX-Kept: 2\r\nConnection:\r\n'
                'Connection: ,x-MINE,absent\r\nKeep-Alive: timeout=5\r\n'
            )
            for method in METHODS:
                status, _, _ = await ask(
                    deployment.address(), request_with(extra, method)
                )
                assert status == 200
            for seen, method in zip(seen_by(deployment), METHODS, strict=True):
                names = {name for name, _ in seen.headers}
                dropped = {b'connection', b'te', b'x-mine', b'keep-alive'}
                assert not names & dropped
                assert seen.lines(b'x-kept') == [b'2']
                assert (seen.method.decode(), seen.body) == (method, HIDDEN)

    asyncio.run(scenario())


SPOILED = (
    b'Retry-After: 7\r\nX-Mine: 1\r\nConnection: keep-alive\r\n'
    b'Connection: x-mine, Retry-After, Attempt-Id, Server-Signature\r\n'
    b'Connection: Content-Length, Content-Type\r\nContent-Type: text/x\r\n'
)


@pytest.mark.parametrize('is_cut', [False, True])
def test_response_keeps_its_headers(tmp_path, is_cut):
    """The caller would not know whose response it is, or when to return.

    Also on the way back of a hand-over.
    """

    async def scenario():
        with contextlib.ExitStack() as stack:
            cut = UpstreamCut('refuse')
            cut.apply(stack)
            async with strict_deployment(tmp_path, SPOILED, 3, 6) as deployment:
                gateway = deployment.gateways[0]
                if is_cut:
                    cut.begin(gateway)
                    await send_until_cut_off(deployment)
                status, headers, body = await ask(
                    deployment.address(), head('/safe/x', attempt='a9')
                )
                assert (status, body) == (200, b'hello')
                assert headers['attempt-id'] == 'a9'
                assert headers['server-signature'] == 's'
                assert headers['retry-after'] == '7'
                assert headers['content-type'] == 'text/x'
                assert 'x-mine' not in headers
                handed = gateway._parts.metrics.handovers.labels('answered')
                assert bool(handed.total) == is_cut

    asyncio.run(scenario())


async def send_until_cut_off(deployment):
    """Send requests to all entry VMs until the first hands them over."""
    handover = deployment.gateways[0]._parts.handover
    async with asyncio.timeout(10):
        while not handover.is_needed:
            for index, _ in enumerate(deployment.gateways):
                await ask(deployment.address(index=index), head('/safe/cut'))
            await asyncio.sleep(0.02)


def test_handed_over_request_is_checked_too(tmp_path):
    """The receiver of a hand-over has the same rule as the sender."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            peers = deployment.gateways[0]._parts.heartbeats.own_member.peers
            host, _, port = peers.partition(':')
            extra = 'catkindrift-caller: 10.0.0.7\r\nConnection: Attempt-Id\r\n'
            status, _, _ = await ask((host, int(port)), request_with(extra))
            assert status == 400
            assert not seen_by(deployment)

    asyncio.run(scenario())
