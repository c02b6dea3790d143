"""The rate of requests to cold upstreams, with real connections."""

import asyncio
import contextlib
import itertools
import time

import pytest

from catkindrift.gateway import Gateway
from catkindrift.gateway._heartbeat_sender import HeartbeatSender
from catkindrift.settings import GatewaySettings
from catkindrift.strict_settings import load_settings
from tests.platform_deployment import PlatformDeployment, ask, head

VMS = 6
REQUESTS_PER_SECOND = 150
# The sample configuration and bounds: 7.7 a second, 1.5 times that, 5 more.
ALLOWED = 7.7 * 1.5 + 5
# Time for which an upstream stays cold, by its entry and by the service.
COLD_S = 30
COLD_START_S = 3
BORN_MS = 1_790_000_000_000


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def most_in_a_second(times_s):
    """Return the largest number of times in any span of one second."""
    return max(
        (sum(at <= each < at + 1 for each in times_s) for at in times_s),
        default=0,
    )


async def start_together(deployment):
    """Start all entry VMs at the same moment, without waiting for any."""
    gateways = []
    for number in range(VMS):
        path = deployment.settings(f'front-{number + 1}')
        gateways.append(Gateway(load_settings(path, GatewaySettings)))
    await asyncio.gather(*(each.start() for each in gateways))
    return gateways


async def send_evenly(deployment, seconds):
    """Send requests by all VMs in turn, ready or not."""
    vms = itertools.cycle(range(VMS))
    sent = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        request = head(f'/safe/{number}', attempt=f'a{number}')
        address = deployment.address(index=next(vms))
        sent.append(asyncio.create_task(ask(address, request)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*sent, return_exceptions=True)


@contextlib.asynccontextmanager
async def started_together(folder, refused_kinds=(), **upstream):
    """Run a deployment whose entry VMs all start at the same moment."""
    deployment = PlatformDeployment(folder)
    deployment.store.refused_kinds.update(refused_kinds)
    await deployment.start(upstreams=0)
    await deployment.add_upstream('i-0', **upstream)
    deployment.gateways.extend(await start_together(deployment))
    try:
        yield deployment
    finally:
        await deployment.stop()


@pytest.mark.parametrize('hears_others', [True, False])
def test_vms_that_start_together_share_the_rate_of_a_cold_upstream(
    tmp_path, monkeypatch, hears_others
):
    """Guard against VMs that each take the whole rate when they start."""
    if not hears_others:
        monkeypatch.setattr(HeartbeatSender, '_send', lambda *_: None)

    async def scenario():
        async with started_together(tmp_path, cold_left_s=COLD_S) as deployment:
            await send_evenly(deployment, 8)
            upstream = deployment.upstreams[0]
            assert 0 < most_in_a_second(upstream.arrivals_s) <= ALLOWED

    run(scenario())


def test_vms_that_know_only_themselves_do_not_flood_a_cold_upstream(
    tmp_path, monkeypatch
):
    """Guard against a VM that takes itself for the only one."""
    monkeypatch.setattr(HeartbeatSender, '_send', lambda *_: None)

    async def scenario():
        async with started_together(
            tmp_path, ['entry-vms'], cold_left_s=COLD_S
        ) as deployment:
            await send_evenly(deployment, 4)
            upstream = deployment.upstreams[0]
            assert most_in_a_second(upstream.arrivals_s) <= ALLOWED

    run(scenario())


def test_idle_vm_asks_for_the_start_before_it_sends(tmp_path):
    """Guard against a restart that broke no connection of this VM."""

    async def scenario():
        async with started_together(tmp_path, born_ms=BORN_MS) as deployment:
            await asyncio.sleep(3)
            upstream = deployment.upstreams[0]
            upstream.born_ms += 60_000
            status, _, _ = await ask(deployment.address(), head('/safe/x'))
            assert status == 503
            assert not upstream.requests

    run(scenario())


def test_upstream_that_restarts_under_its_id_is_cold_before_the_store_says_so(
    tmp_path,
):
    """Guard against a flood of an upstream whose new entry is late."""

    async def scenario():
        async with started_together(tmp_path, born_ms=BORN_MS) as deployment:
            await asyncio.sleep(3)
            await send_evenly(deployment, 1)
            upstream = deployment.upstreams[0]
            upstream.end()
            upstream.born_ms += 60_000
            restarted_s = time.monotonic()
            await upstream.start(upstream.port)
            await send_evenly(deployment, COLD_START_S)
            cold_s = [
                at
                for at in upstream.arrivals_s
                if 0 < at - restarted_s < COLD_START_S
            ]
            assert 0 < most_in_a_second(cold_s) <= ALLOWED

    run(scenario())
