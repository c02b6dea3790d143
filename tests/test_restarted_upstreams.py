"""Crashing requests at upstreams that restart under the id that they had."""

import asyncio

import pytest

from catkindrift.gateway._heartbeat_sender import HeartbeatSender
from tests.platform_deployment import ask
from tests.platform_upstream import PlatformUpstream
from tests.test_crashing_requests import (
    MAX_CRASHED,
    crash_on_target,
    long_timeout_deployment,
    repeats,
    run,
)

BORN_MS = 1_790_000_000_000
REPEAT_PAUSE_S = 1.2
# The platform counts repeats later than this after the third crash.
STABLE_WINDOW_S = 3
# Entry VMs of the deployment in which none hears another.
SILENT_VMS = 6


async def announce_starts(deployment, restart_pause_s):
    """State each upstream's start in its entry; restart it when it crashes."""
    for upstream in deployment.upstreams:
        upstream.born_ms = BORN_MS
        await deployment.store.put('servers', upstream.id, upstream.spec)
    deployment.restart_after_crash(restart_pause_s)
    crash_on_target(deployment)
    await asyncio.sleep(0.5)


def crashes(deployment):
    """Return how often upstreams have crashed."""
    return sum(upstream.crashes for upstream in deployment.upstreams)


async def ask_each(deployment, vms, pause_s):
    """Send two repeats to each VM and return the statuses."""
    statuses = []
    for vm in (*vms, *vms):
        address = deployment.address(index=vm)
        status, _, _ = await ask(address, repeats()[0])
        statuses.append(status)
        await asyncio.sleep(pause_s)
    return statuses


@pytest.mark.parametrize('upstreams', [9, 1])
@pytest.mark.parametrize('restart_pause_s', [0, 0.3, 1])
def test_upstream_that_restarts_under_its_id_has_crashed(
    tmp_path, upstreams, restart_pause_s
):
    """Guard against a new start that is taken for the one that crashed."""

    async def scenario():
        async with long_timeout_deployment(tmp_path, upstreams) as deployment:
            await announce_starts(deployment, restart_pause_s)
            for poison in repeats():
                await ask(deployment.address(), poison)
                await asyncio.sleep(REPEAT_PAUSE_S)
            assert crashes(deployment) == MAX_CRASHED

    run(scenario())


def test_vms_that_hear_only_the_store_share_crashes(tmp_path, monkeypatch):
    """Guard against crash reports that need a path between entry VMs."""
    monkeypatch.setattr(HeartbeatSender, '_send', lambda *_: None)

    async def scenario():
        async with long_timeout_deployment(tmp_path, 18) as deployment:
            for number in range(1, SILENT_VMS):
                await deployment.add_gateway(f'front-{number + 1}')
            crash_on_target(deployment)
            await asyncio.sleep(1)
            await ask_each(deployment, range(2), 0.25)
            await asyncio.sleep(STABLE_WINDOW_S + 1)
            late = await ask_each(deployment, range(SILENT_VMS), 0)
            assert set(late) == {503}

    run(scenario())


def test_connection_that_breaks_does_not_end_the_start(tmp_path):
    """Guard against blame for resets of an upstream that lives on."""

    async def scenario():
        async with long_timeout_deployment(tmp_path, 2) as deployment:
            await announce_starts(deployment, 0)
            crash_on_target(deployment, b'')
            statuses = []
            for each in repeats():
                deployment.answer_with(None)
                broken, _, _ = await ask(deployment.address(), each)
                deployment.answer_with(PlatformUpstream.ok)
                await asyncio.sleep(REPEAT_PAUSE_S)
                answered, _, _ = await ask(deployment.address(), each)
                statuses.append((broken, answered))
            assert set(statuses) == {(502, 200)}

    run(scenario())
