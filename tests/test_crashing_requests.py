"""Requests that crash upstreams, and the requests that run beside them."""

import asyncio
from types import MappingProxyType

import pytest

from catkindrift.blame import (
    Crash,
    request_fingerprint,
    without_caller,
)
from catkindrift.gateway import _heartbeats
from catkindrift.http1 import ConnectionPool
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
# Required: a request that crashes upstreams takes down two at most.
MAX_CRASHED = 2
POISON = '/unsafe/poison'
# Larger than the prefix in the fingerprint, and than one read of a socket.
BODY = b'body' * 20_000


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def long_timeout_deployment(folder, upstreams=UPSTREAMS, **rules):
    """Run a deployment whose timeouts suit a busy machine."""
    rules.setdefault('timeout_s', 20)
    routes = [{**route, **rules} for route in (SAFE, UNSAFE)]
    return deployed(folder, routes=routes, upstreams=upstreams)


def request(path, method='POST', attempt='a', body=b'', **how):
    """Return an encoded request; takes `key`, `is_chunked` and `extra`."""
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
    """Make each upstream crash when it receives a request for `target`."""
    for upstream in deployment.upstreams:
        upstream.ends_at = target


def crashed_count(deployment):
    """Return how many upstreams have crashed."""
    return sum(upstream.has_ended for upstream in deployment.upstreams)


async def wait_for_checks(deployment):
    """Wait until all health checks after disconnects have finished."""
    await eventually(
        lambda: (
            not any(
                gateway._parts.crashes._checks
                for gateway in deployment.gateways
            )
        )
    )


async def send(deployment, *requests):
    """Send requests sequentially and return their statuses."""
    statuses = []
    for each in requests:
        status, _, _ = await ask(deployment.address(), each)
        statuses.append(status)
        await wait_for_checks(deployment)
    return statuses


async def send_side_by_side(deployment, beside, rounds=3):
    """Send a plain and a crashing request to the same upstream, repeatedly.

    Return the last status of the plain request.
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


async def send_between_answers(folder, answer):
    """Let a crashing request crash upstreams and get `answer` in turn."""
    async with long_timeout_deployment(folder) as deployment:
        for poison in repeats():
            crash_on_target(deployment)
            await send(deployment, poison)
            crash_on_target(deployment, b'')
            deployment.answer_with(answer)
            await send(deployment, poison)
            for upstream in deployment.upstreams:
                upstream.script = []
        assert crashed_count(deployment) == MAX_CRASHED


def repeats(**how):
    """Return a crashing request and its retries, each with another key."""
    return [
        request(POISON, attempt=f'a{number}', key=number + 1, **how)
        for number in range(REPEATS)
    ]


def varied(vary):
    """Return a crashing request and its retries, varied by `vary(number)`."""
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
    """A retry has the same path, caller and body, whatever else differs.

    Guards against retries that are taken for new requests, each of which may
    crash two upstreams.
    """

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            statuses = await send(deployment, *sent)
            assert crashed_count(deployment) == MAX_CRASHED
            assert statuses == [502, 502, 503, 503, 503, 503, 503, 503]

    run(scenario())


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_repeats_from_other_addresses_reach_two_upstreams(tmp_path, method):
    """Guard against repeats that are new requests by their IP address."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            for number in range(REPEATS):
                host = f'127.0.0.{number + 2}'
                repeat = request(POISON, method, f'a{number}')
                await ask(deployment.address(), repeat, (host, 0))
                await wait_for_checks(deployment)
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


@pytest.mark.parametrize('status', [b'500 Error', b'504 Late'])
def test_failure_of_an_upstream_takes_no_blame_back(tmp_path, status):
    """Guard against blame that is lost while the request waits in a queue.

    An upstream that gives up on a waiting request states no more than that.
    """

    def fail(_upstream, _attempt):
        return b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % status

    run(send_between_answers(tmp_path, fail))


def test_fingerprint_has_a_part_without_the_caller():
    """Repeats may come from other addresses; other requests differ anyway."""
    own = request_fingerprint('10.0.0.1', b'/x', b'body')
    assert own == request_fingerprint('10.0.0.1', b'/x', b'body')
    repeat = request_fingerprint('10.0.0.2', b'/x', b'body')
    assert own != repeat
    assert without_caller(own) == without_caller(repeat)
    other = request_fingerprint('10.0.0.1', b'/x?page=2', b'body')
    assert without_caller(own) != without_caller(other)


def test_other_requests_of_a_caller_are_served(tmp_path):
    """Blame is for one request, not for all of an address."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            await send(deployment, *repeats()[:MAX_CRASHED])
            assert await send(deployment, request('/unsafe/x')) == [200]

    run(scenario())


def test_crashing_request_is_not_tried_a_third_time(tmp_path):
    """Retries by the gateway count towards quarantine like the caller's."""

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
    """A request that is quarantined while it connects is not sent.

    Guards against a check before the connect only.
    """

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            parts = deployment.gateways[0]._parts
            fingerprint = request_fingerprint(
                '127.0.0.1', b'tariffs %b' % POISON.encode(), b''
            )
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
    """A new VM gets the crashes in reply to its first heartbeat.

    Guards against a reply that waits for the next interval.
    """
    monkeypatch.setattr(_heartbeats, '_INTERVAL_SECONDS', 3600)

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            await send(deployment, *repeats()[:MAX_CRASHED])
            newcomer = await deployment.add_gateway('front-2', 'gij-b')
            await eventually(newcomer._parts.crashes.reports.next_crashes)
            status, _, _ = await ask(deployment.address(index=1), repeats()[0])
            assert status == 503

    run(scenario())


def test_other_body_at_the_path_of_a_crashing_request_is_served(tmp_path):
    """The fingerprint covers the content of the body, not only its length."""

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
    """A refused request has not run, so the refusal must not clear it."""

    run(send_between_answers(tmp_path, shed))


def test_upstream_that_is_back_at_once_has_crashed(tmp_path):
    """A new incarnation at the same address means that the old one crashed.

    Guards against a health check that takes the successor for the upstream.
    """
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
    """A partial response must not clear the request that crashed it."""

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
    """A request that still waits for a connection can't have caused a crash.

    Guards against blame for requests that were assigned but not sent.
    """

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
                len(
                    deployment.gateways[0]._parts.crashes.reports.next_crashes()
                )
                == 1
            )
            beside.cancel()

    run(scenario())


def test_requests_of_two_vms_do_not_meet_under_suspicion(tmp_path):
    """Suspects of different VMs run on different upstreams, despite one key."""

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
    """Guard against concurrent retries that each crash an upstream."""

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
    """Guard against quarantine of a request that ran beside a crashing one.

    Both are suspects after the first crash; kept apart, only one crashes
    another upstream.
    """

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            own = deployment.address()
            assert await send_side_by_side(deployment, own) == 200
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())
