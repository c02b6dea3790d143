"""What Connection names: no message is changed by it on its way.

Guards against a header that frames, addresses or identifies a message being
removed because a sender lists it in Connection.
"""

import asyncio
import contextlib
import itertools
import json
from types import MappingProxyType

import pytest

from tests.deployment import HTTP
from tests.platform_deployment import ask, deployed, head
from tests.stranded import UpstreamCut
from tests.strict_upstream import StrictUpstream
from tests.test_callers import WHOLE, receive_until, request

HIDDEN = (
    b'POST /unsafe/hidden HTTP/1.1\r\nHost: quotes.example\r\n'
    b'Attempt-Id: hidden\r\n\r\n'
)
CHUNKED = 'Transfer-Encoding: chunked\r\n'
CHUNKS = b'3\r\nabc\r\n0\r\n\r\n'
STATED = MappingProxyType(
    {
        b'host': b'quotes.example',
        b'attempt-id': b'a1',
        b'cookie': b'Affinity-Key=17',
        b'content-type': b'text/x',
        b'content-length': str(len(HIDDEN)).encode(),
    }
)
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


def take_seen(deployment):
    """Return and forget all requests that upstreams have run."""
    seen = seen_by(deployment)
    for upstream in deployment.upstreams:
        upstream.seen.clear()
    return seen


def take_only_seen(deployment):
    """Return and forget the request that upstreams have run, the only one."""
    seen = take_seen(deployment)
    assert len(seen) == 1
    return seen[0]


@contextlib.asynccontextmanager
async def path_of(folder, is_cut, extra=b''):
    """Run an entry VM, or three of which the first hands its requests over."""
    with contextlib.ExitStack() as stack:
        cut = UpstreamCut('refuse')
        cut.apply(stack)
        sizes = (3, 6) if is_cut else (1, 1)
        async with strict_deployment(folder, extra, *sizes) as deployment:
            if is_cut:
                cut.begin(deployment.gateways[0])
                await send_until_cut_off(deployment)
            take_seen(deployment)
            yield deployment


def request_with(extra, method='POST', body=HIDDEN):
    """Return a request with a body by length."""
    extra = f'{extra}Content-Type: text/x\r\nContent-Length: {len(body)}\r\n'
    return head('/unsafe/x', method, extra=extra) + body


@pytest.mark.parametrize('is_cut', [False, True])
def test_header_for_all_recipients_is_never_removed(tmp_path, is_cut):
    """The body would run as a request, or the caller would lose its upload.

    Also where the request is handed over.
    """

    async def scenario():
        async with path_of(tmp_path, is_cut) as deployment:
            cases = list(itertools.product(OPTIONS, METHODS))
            for options, method in cases:
                status, _, body = await ask(
                    deployment.address(), request_with(options, method)
                )
                assert (status, body) == (200, b'hello'), (options, method)
                seen = take_only_seen(deployment)
                assert (seen.method.decode(), seen.body) == (method, HIDDEN)
                assert seen.target == b'/unsafe/x'
                for name, stated in STATED.items():
                    assert seen.lines(name) == [stated], (options, name)
                assert len(seen.lines(b'deadline-remaining')) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('is_cut', [False, True])
def test_id_of_a_chunked_request_is_never_removed(tmp_path, is_cut):
    """A request without an id would run, which no caller has sent."""

    async def scenario():
        async with path_of(tmp_path, is_cut) as deployment:
            extra = f'Connection: attempt-id, transfer-encoding\r\n{CHUNKED}'
            parts = head('/unsafe/x', 'POST', extra=extra), CHUNKS
            status, _, _ = await ask(deployment.address(), b''.join(parts))
            assert status == 200
            seen = take_only_seen(deployment)
            assert (seen.body, seen.lines(b'attempt-id')) == (b'abc', [b'a1'])

    asyncio.run(scenario())


def test_ignored_options_are_counted_and_logged(tmp_path, capfd):
    """Nobody could tell which callers depend on an option being ignored."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            options = 'Connection: keep-alive, Content-Length, x-mine, HOST\r\n'
            await ask(deployment.address(), request_with(options))
            await ask(deployment.address(), request_with(''))
            metrics = deployment.gateways[0]._parts.metrics
            samples = metrics.ignored_connection_options.samples
            return {name: sample.total for name, sample in samples.items()}

    assert asyncio.run(scenario()) == {'content-length': 1, 'host': 1}
    lines = [
        json.loads(line)
        for line in capfd.readouterr().out.splitlines()
        if '"event":"ignored_option"' in line
    ]
    assert [(each['id'], each['options']) for each in lines] == [
        ('a1', 'content-length, host')
    ]


def test_own_interface_keeps_headers_that_connection_names(
    running, connect, serve, caplog
):
    """An upload would arrive empty, and its body run as a request."""
    upstream, _ = serve('named', WHOLE, until=HIDDEN)
    extra = (
        'Connection: Content-Length, Host, Cookie, idempotency-key\r\n'
        f'Cookie: a=b\r\nIdempotency-Key: k\r\n'
        f'Content-Length: {len(HIDDEN)}\r\n'
    )
    connection = connect()
    connection.sendall(request('/services/named/x', 'POST', extra) + HIDDEN)
    assert receive_until(connection, b'abcd').startswith(b'HTTP/1.1 200')
    first, _, body = upstream.requests[0].partition(b'\r\n\r\n')
    assert body == HIDDEN
    for line in (b'Cookie: a=b', b'Idempotency-Key: k', b'Host: x'):
        assert first.count(line) == 1
    length = f'content-length: {len(HIDDEN)}'.encode()
    assert first.lower().count(length) == 1
    assert caplog.text.count('ignored options of Connection') == 1
    page = HTTP.request('GET', f'{running.operators_url()}/metrics').data
    metric = 'catkindrift_ignored_connection_options_total{option="host"} 1.0'
    assert metric in page.decode()


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


@pytest.mark.parametrize('option', ['close\t', 'te,close\t, x-mine'])
def test_close_with_a_tab_is_obeyed(tmp_path, option):
    """The caller waits for the close, and its next request would run."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            with contextlib.closing(writer):
                writer.write(
                    head('/safe/x', extra=f'Connection: {option}\r\n')
                    + head('/safe/y')
                )
                async with asyncio.timeout(5):
                    received = await reader.read()
            assert received.startswith(b'HTTP/1.1 200')
            assert received.count(b'HTTP/1.1') == 1
            assert take_only_seen(deployment).target == b'/safe/x'

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
        async with path_of(tmp_path, is_cut, SPOILED) as deployment:
            status, headers, body = await ask(
                deployment.address(), head('/safe/x', attempt='a9')
            )
            assert (status, body) == (200, b'hello')
            assert headers['attempt-id'] == 'a9'
            assert headers['server-signature'] == 's'
            assert headers['retry-after'] == '7'
            assert headers['content-type'] == 'text/x'
            assert 'x-mine' not in headers
            metrics = deployment.gateways[0]._parts.metrics
            handed = metrics.handovers.labels('answered')
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


def test_receiver_of_a_hand_over_ignores_them_too(tmp_path):
    """A sender of another build may pass a caller's Connection on."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            peers = deployment.gateways[0]._parts.heartbeats.own_member.peers
            host, _, port = peers.partition(':')
            extra = 'catkindrift-caller: 10.0.0.7\r\nConnection: Attempt-Id\r\n'
            status, _, _ = await ask((host, int(port)), request_with(extra))
            assert status == 200
            seen = take_only_seen(deployment)
            assert (seen.body, seen.lines(b'attempt-id')) == (HIDDEN, [b'a1'])

    asyncio.run(scenario())
