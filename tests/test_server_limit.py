"""Limits that upstreams name, with real connections."""

import asyncio
import itertools
import time

import pytest

from catkindrift.gateway._heartbeat_sender import HeartbeatSender
from tests.platform_deployment import ask, deployed, head

LIMITS = ('4.2', '1.6', '0.5')
WITH_ROOM = 5
WINDOW_S = 4
# Limits bind from this time after they were first named.
STABLE_WINDOW_S = 4
REQUESTS_PER_SECOND = 50
RUN_S = STABLE_WINDOW_S + 2 * WINDOW_S


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def most_in_window(times_s, since_s):
    """Return the largest number of times in any span of `WINDOW_S`."""
    counted = [at for at in times_s if at >= since_s]
    return max(
        (sum(at <= each < at + WINDOW_S for each in counted) for at in counted),
        default=0,
    )


def allowed(limit):
    """Return the number of requests that the platform allows in a window."""
    return 1.5 * WINDOW_S * float(limit) + 5


async def add_vms(deployment, count):
    """Start entry VMs until there are `count`."""
    for number in range(1, count):
        await deployment.add_gateway(f'front-{number + 1}')


async def send_evenly(deployment, seconds):
    """Send requests for many objects by all VMs and return the statuses."""
    vms = itertools.cycle(range(len(deployment.gateways)))
    sent = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        request = head(f'/safe/{number}', attempt=f'a{number}').replace(
            b'Affinity-Key=17', b'Affinity-Key=%d' % number
        )
        address = deployment.address(index=next(vms))
        sent.append(asyncio.create_task(ask(address, request)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return [status for status, _, _ in await asyncio.gather(*sent)]


@pytest.mark.parametrize('hears_others', [True, False])
def test_upstream_gets_no_more_than_the_limit_that_it_names(
    tmp_path, monkeypatch, hears_others
):
    """Guard against a limit that no entry VM keeps, or each for itself."""
    if not hears_others:
        monkeypatch.setattr(HeartbeatSender, '_send', lambda *_: None)

    async def scenario():
        count = len(LIMITS) + WITH_ROOM
        async with deployed(tmp_path, upstreams=count) as deployment:
            await add_vms(deployment, 6)
            for upstream, limit in zip(
                deployment.upstreams, LIMITS, strict=False
            ):
                upstream.limit = limit
            began_s = time.monotonic()
            statuses = await send_evenly(deployment, RUN_S)
            assert set(statuses) == {200}
            for upstream in deployment.upstreams[: len(LIMITS)]:
                most = most_in_window(
                    upstream.arrivals_s, began_s + STABLE_WINDOW_S
                )
                assert most <= allowed(upstream.limit)

    run(scenario())


def test_what_nobody_can_take_is_refused_at_once(tmp_path):
    """The refusal tells when an upstream takes a request again."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            deployment.upstreams[0].limit = '0.5'
            request = head('/safe/x')
            assert (await ask(deployment.address(), request))[0] == 200
            began_s = time.monotonic()
            status, headers, _ = await ask(deployment.address(), request)
            assert status == 503
            assert (time.monotonic() - began_s) * 2 < 1
            await asyncio.sleep(float(headers['retry-after']))
            assert (await ask(deployment.address(), request))[0] == 200

    run(scenario())


def test_limit_ends_when_the_upstream_no_longer_names_it(tmp_path):
    """Guard against an upstream that stays limited for good."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            upstream = deployment.upstreams[0]
            upstream.limit = '0.5'
            request = head('/safe/x')
            assert (await ask(deployment.address(), request))[0] == 200
            upstream.limit = ''
            await asyncio.sleep(5)
            statuses = [
                (await ask(deployment.address(), request))[0] for _ in range(9)
            ]
            assert set(statuses) == {200}
            assert len(upstream.requests) == 10

    run(scenario())
