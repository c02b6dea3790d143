"""Requests that end the upstreams which run them, and those beside them."""

import asyncio
from types import MappingProxyType

import pytest

from catkindrift.gateway import _heartbeats
from catkindrift.http1 import ConnectionPool
from catkindrift.retries import Crash, request_fingerprint
from tests.platform_deployment import (
    SAFE,
    UNSAFE,
    ask,
    deployed,
    eventually,
)
from tests.platform_upstream import shed

UPSTREAMS = 9
REPEATS = 8
# The brief: a request that crashes upstreams takes down two at most.
MAX_CRASHED = 2
POISON = '/unsafe/poison'
# Larger than what tells bodies apart, and than one read of a socket.
BODY = b'body' * 20_000


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def long_timeout_deployment(folder, upstreams=UPSTREAMS, **rules):
    """Run a deployment whose routes leave time on a busy machine."""
    rules.setdefault('timeout_s', 20)
    routes = [{**route, **rules} for route in (SAFE, UNSAFE)]
    return deployed(folder, routes=routes, upstreams=upstreams)


def request(path, method='POST', attempt='a', body=b'', **how):
    """Return a whole request; `key`, `is_chunked` and `extra` may be given."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: quotes.example']
    lines.append(f'Attempt-Id: {attempt}')
    lines.append('Deadline-Remaining: 15000')
    if how.get('key'):
        lines.append(f'Cookie: Affinity-Key={how["key"]}')
    lines.extend(how.get('extra', ()))
    if how.get('is_chunked'):
        lines.append('Transfer-Encoding: chunked')
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    elif method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join([*lines, '', ''])
    return head.encode() + body


def crash_on_target(deployment, target=b'/poison'):
    """Let each upstream end when it gets a request for `target`."""
    for upstream in deployment.upstreams:
        upstream.ends_at = target


def crashed_count(deployment):
    """Return how many upstreams have ended."""
    return sum(upstream.has_ended for upstream in deployment.upstreams)


async def wait_for_checks(deployment):
    """Wait until it is known which upstreams have ended."""
    await eventually(
        lambda: (
            not any(
                gateway._parts.crashes._checks
                for gateway in deployment.gateways
            )
        )
    )


async def send(deployment, *requests):
    """Send requests one after the other and return their statuses."""
    statuses = []
    for each in requests:
        status, _, _ = await ask(deployment.address(), each)
        statuses.append(status)
        await wait_for_checks(deployment)
    return statuses


async def send_side_by_side(deployment, beside, rounds=3):
    """Send a request and a crashing one to the same upstream, repeatedly.

    Return the last status of the request beside the crashing one.
    """
    crash_on_target(deployment)
    for upstream in deployment.upstreams:
        upstream.delay_s = 0.2
    for _ in range(rounds):
        other = asyncio.create_task(ask(beside, request('/unsafe/x', key=17)))
        await asyncio.sleep(0.1)
        await send(deployment, request(POISON, key=17))
        status, _, _ = await other
    return status


def repeats(**how):
    """Return a request and its repeats, each with another object's key."""
    return [
        request(POISON, attempt=f'a{number}', key=number + 1, **how)
        for number in range(REPEATS)
    ]


def varied(vary):
    """Return a request and its repeats with what varies between them."""
    return [
        request(POISON, attempt=f'a{number}', body=BODY, **vary(number))
        for number in range(REPEATS)
    ]


VARIED = MappingProxyType(
    {
        'same key': varied(lambda _: {'key': 17}),
        'no key': varied(lambda _: {}),
        'other keys': varied(lambda number: {'key': number + 1}),
        'other headers': varied(lambda number: {'extra': [f'X-Try: {number}']}),
        'other method': varied(
            lambda number: {'method': ('POST', 'PUT')[number % 2]}
        ),
        'other framing': varied(lambda number: {'is_chunked': number % 2}),
    }
)


@pytest.mark.parametrize('sent', VARIED.values(), ids=VARIED)
def test_repeats_of_a_crashing_request_reach_two_upstreams(tmp_path, sent):
    """A repeat is known by path, caller and body, whatever else differs."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            statuses = await send(deployment, *sent)
            assert crashed_count(deployment) == MAX_CRASHED
            assert statuses == [502, 502, 503, 503, 503, 503, 503, 503]

    run(scenario())


def test_callers_do_not_share_blame():
    """The same request of another caller is another request."""
    own = request_fingerprint('10.0.0.1', b'/x', b'body')
    assert own == request_fingerprint('10.0.0.1', b'/x', b'body')
    assert own != request_fingerprint('10.0.0.2', b'/x', b'body')
    assert own != request_fingerprint('10.0.0.1', b'/x?page=2', b'body')


def test_crashing_request_is_not_tried_a_third_time(tmp_path):
    """Our own further tries of a safe request count like its caller's."""

    async def scenario():
        async with long_timeout_deployment(
            tmp_path, max_attempts=6
        ) as deployment:
            crash_on_target(deployment)
            statuses = await send(
                deployment,
                request('/safe/poison', 'GET'),
                request('/safe/poison', 'GET', 'a2'),
            )
            assert statuses == [502, 503]
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_news_that_comes_during_a_connect_keep_a_request_back(tmp_path):
    """What is quarantined is not sent, however far it has got."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            parts = deployment.gateways[0]._parts
            fingerprint = request_fingerprint('127.0.0.1', POISON.encode(), b'')
            crashes = [Crash(fingerprint, name, 0) for name in ('x', 'y')]
            connecting = parts.pool._connections.connect

            async def connect_slowly(*where):
                parts.crashes.merge_reports(tuple(crashes))
                return await connecting(*where)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(
                    ConnectionPool,
                    'connect',
                    lambda _, *where: connect_slowly(*where),
                )
                assert await send(deployment, request(POISON)) == [503]
            assert not any(each.requests for each in deployment.upstreams)

    run(scenario())


def test_vm_that_has_just_started_hears_of_crashes_at_once(
    tmp_path,
    monkeypatch,
):
    """It is told when it is first heard, not with the next heartbeat."""
    monkeypatch.setattr(_heartbeats, '_INTERVAL_SECONDS', 3600)

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            await send(deployment, *repeats()[:MAX_CRASHED])
            newcomer = await deployment.add_gateway('front-2', 'gij-b')
            await eventually(newcomer._parts.crashes.next_crashes)
            status, _, _ = await ask(deployment.address(index=1), repeats()[0])
            assert status == 503

    run(scenario())


def test_other_body_at_the_path_of_a_crashing_request_is_served(tmp_path):
    """A body of the same length is not the same body."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            poison = request(POISON, body=b'bad', key=17)
            assert await send(deployment, poison, poison) == [502, 502]
            crash_on_target(deployment, b'')
            statuses = await send(
                deployment,
                request(POISON, body=b'fit', key=17),
                poison,
            )
            assert statuses == [200, 503]

    run(scenario())


def test_refusal_by_a_full_upstream_takes_no_blame_back(tmp_path):
    """A request that was not run has not shown that it ends no upstream."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            for poison in repeats():
                crash_on_target(deployment)
                await send(deployment, poison)
                crash_on_target(deployment, b'')
                deployment.answer_with(shed)
                await send(deployment, poison)
                for upstream in deployment.upstreams:
                    upstream.script = []
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_upstream_that_is_back_at_once_has_crashed(tmp_path):
    """A new incarnation at the address shows that the old one has ended."""
    restarts = []

    def restart(upstream, _attempt):
        restarts.append(upstream.id)
        upstream.id = f'{upstream.id}-again'

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            deployment.answer_with(restart)
            await send(deployment, *repeats())
            assert len(restarts) == MAX_CRASHED

    run(scenario())


def test_upstream_that_ends_amid_its_answer_has_crashed(tmp_path):
    """A part of an answer does not show that the upstream lives."""

    def begin(upstream, attempt):
        asyncio.get_running_loop().call_later(0.05, upstream.end)
        return upstream.ok(attempt)[:-1]

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            deployment.answer_with(begin)
            await send(deployment, *repeats())
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_request_without_a_connection_is_not_blamed(tmp_path):
    """Only what an upstream was sent can have ended it."""

    def crash(upstream, _attempt):
        upstream.end()

    connect = ConnectionPool.connect
    connecting = []

    async def first_waits(pool, *where):
        connecting.append(where)
        if len(connecting) == 1:
            await asyncio.sleep(3600)
        return await connect(pool, *where)

    async def scenario():
        async with long_timeout_deployment(tmp_path, upstreams=1) as deployment:
            deployment.answer_with(crash)
            deployment.upstreams[0].delay_s = 1
            poison = asyncio.create_task(send(deployment, request(POISON)))
            await eventually(lambda: deployment.upstreams[0].requests)
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ConnectionPool, 'connect', first_waits)
                beside = asyncio.create_task(
                    ask(deployment.address(), request('/unsafe/x'))
                )
                await eventually(lambda: connecting)
                assert await poison == [502]
            assert (
                len(deployment.gateways[0]._parts.crashes.next_crashes()) == 1
            )
            beside.cancel()

    run(scenario())


def test_requests_of_two_vms_do_not_meet_under_suspicion(tmp_path):
    """The VMs divide upstreams for suspects, whatever their keys say."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            await deployment.add_gateway('front-2', 'gij-b')
            await eventually(
                lambda: all(
                    gateway._parts.members.alive()
                    for gateway in deployment.gateways
                )
            )
            other = deployment.address(index=1)
            assert await send_side_by_side(deployment, other) == 200
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_suspect_runs_once_at_a_time(tmp_path):
    """Repeats that come together do not each end an upstream."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            await send(deployment, request(POISON))
            for upstream in deployment.upstreams:
                upstream.ends_at = b''
                upstream.delay_s = 0.1
                upstream.script = [lambda upstream, _attempt: upstream.end()]
            answers = await asyncio.gather(
                *(ask(deployment.address(), each) for each in repeats())
            )
            statuses = sorted(status for status, _, _ in answers)
            assert statuses == [502, *[503 for _ in range(REPEATS - 1)]]
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_request_beside_a_crashing_one_is_served(tmp_path):
    """Two suspects do not meet on an upstream again."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            own = deployment.address()
            assert await send_side_by_side(deployment, own) == 200
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())
