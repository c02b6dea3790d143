"""Upstreams that leave, or want a pause, by their own responses."""

import asyncio

import attrs

from catkindrift.http1 import ConnectionPool
from tests.platform_deployment import ask, deployed, eventually, head


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


async def ask_often(deployment, count):
    """Send requests for many objects and return the statuses."""
    requests = [
        head(f'/safe/{number}', attempt=f'a{number}').replace(
            b'Affinity-Key=17', b'Affinity-Key=%d' % number
        )
        for number in range(count)
    ]
    address = deployment.address()
    return [(await ask(address, request))[0] for request in requests]


def test_upstream_that_says_it_leaves_gets_no_further_request(tmp_path):
    """Guard against requests to an upstream that has told this VM so.

    Its entry in the store still says that it is ready.
    """

    async def scenario():
        async with deployed(tmp_path, upstreams=3) as deployment:
            leaving = deployment.upstreams[0]
            leaving.is_leaving = True
            assert set(await ask_often(deployment, 12)) == {200}
            assert len(leaving.requests) == 1

    run(scenario())


def busy(_upstream, _attempt):
    """Return a refusal that asks for a pause."""
    return (
        b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
        b'Retry-After: 1.5\r\nContent-Length: 0\r\n\r\n'
    )


def test_upstream_that_asks_for_a_pause_gets_one(tmp_path):
    """Guard against requests while an upstream wants none from this VM."""

    async def scenario():
        async with deployed(tmp_path, upstreams=2) as deployment:
            paused = deployment.upstreams[0]
            paused.script = [busy]
            assert set(await ask_often(deployment, 12)) == {200}
            assert len(paused.requests) == 1

    run(scenario())


def test_shorter_pause_does_not_end_a_longer_one(tmp_path):
    """Guard against requests in a pause that a later refusal seems to end."""

    def soon_free(upstream, attempt):
        return busy(upstream, attempt).replace(b'1.5', b'0.1')

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            paused = deployment.upstreams[0]
            paused.script = [busy, soon_free]
            paused.delay_s = 0.1
            address = deployment.address()
            first, second = head('/safe/x'), head('/safe/y', attempt='a2')
            await asyncio.gather(ask(address, first), ask(address, second))
            await asyncio.sleep(0.9)
            status, _, _ = await ask(address, head('/safe/z', attempt='a3'))
            assert status == 503
            assert len(paused.requests) == 2

    run(scenario())


def test_entry_that_lapses_and_returns_keeps_the_pause(tmp_path):
    """Guard against pauses that are forgotten with the entry."""

    def long_busy(upstream, attempt):
        return busy(upstream, attempt).replace(b'1.5', b'8.0')

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            paused = deployment.upstreams[0]
            paused.script = [long_busy]
            address = deployment.address()
            await ask(address, head('/safe/x'))
            registry = deployment.gateways[0]._parts.registry
            await deployment.store.delete('servers', paused.id)
            await eventually(lambda: not registry.ids)
            await deployment.store.put('servers', paused.id, paused.spec)
            await eventually(lambda: registry.ids)
            # Until then the VM doesn't know its share of the cold rate.
            await asyncio.sleep(1.5)
            status, _, _ = await ask(address, head('/safe/y', attempt='a2'))
            assert status == 503
            assert len(paused.requests) == 1

    run(scenario())


def test_request_that_waits_for_a_connection_heeds_the_pause(
    tmp_path, monkeypatch
):
    """Guard against requests that were placed before the pause began."""
    connect = ConnectionPool.connect
    connecting = []

    async def second_waits(pool, *where):
        connecting.append(where)
        if len(connecting) > 1:
            await asyncio.sleep(0.4)
        return await connect(pool, *where)

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            paused = deployment.upstreams[0]
            paused.script = [busy]
            paused.delay_s = 0.2
            monkeypatch.setattr(ConnectionPool, 'connect', second_waits)
            address = deployment.address()
            first, second = head('/safe/x'), head('/safe/y', attempt='a2')
            answers = await asyncio.gather(
                ask(address, first), ask(address, second)
            )
            assert [status for status, _, _ in answers] == [503, 503]
            assert len(paused.requests) == 1

    run(scenario())


def test_refusal_tells_when_the_pause_ends(tmp_path):
    """No upstream takes a request before then."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            deployment.upstreams[0].script = [busy]
            request = head('/safe/x')
            await ask(deployment.address(), request)
            status, headers, _ = await ask(deployment.address(), request)
            assert status == 503
            assert len(deployment.upstreams[0].requests) == 1
            await asyncio.sleep(float(headers['retry-after']))
            assert (await ask(deployment.address(), request))[0] == 200

    run(scenario())


def test_upstream_that_leaves_during_a_connect_gets_no_request(tmp_path):
    """Guard against sending by what was known before a slow health check."""

    async def scenario():
        async with deployed(tmp_path, upstreams=2) as deployment:
            store = deployment.store
            for upstream in deployment.upstreams:
                upstream.born_ms = 1_790_000_000_000
                upstream.health_delay_s = 0.4
                await store.put('servers', upstream.id, upstream.spec)
            registry = deployment.gateways[0]._parts.registry
            await eventually(
                lambda: all(each.upstream.born_ms for each in registry.states)
            )
            asked = asyncio.create_task(
                ask(deployment.address(), head('/safe/1'))
            )
            upstreams = deployment.upstreams
            await eventually(
                lambda: any(each.connections for each in upstreams)
            )
            leaving = max(upstreams, key=lambda each: each.connections)
            known = registry.find(leaving.id).upstream
            registry.put(
                attrs.evolve(
                    known, is_draining=True, revision=known.revision + 1
                ),
                0,
            )
            assert (await asked)[0] == 200
            assert not leaving.began_ids

    run(scenario())
