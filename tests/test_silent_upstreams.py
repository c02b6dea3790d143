"""Upstreams that crash and then fall silent, instead of refusing connects."""

import asyncio

import pytest

from catkindrift.http1 import ConnectionPool
from tests.platform_deployment import ask
from tests.test_crashing_requests import (
    MAX_CRASHED,
    POISON,
    REPEATS,
    crash_on_target,
    crashed_count,
    long_timeout_deployment,
    request,
    run,
    send,
    wait_for_checks,
)

PAUSES_S = (0.3, 3.0)


def silence_connects(monkeypatch, deployment):
    """Let connects to upstreams that have ended time out.

    A machine without power sends no refusal.
    """
    connect = ConnectionPool.connect

    async def connect_or_wait(pool, name, host, port, limit_ms):
        ended = {each.port for each in deployment.upstreams if each.has_ended}
        if port in ended:
            await asyncio.sleep(limit_ms / 1000)
            raise TimeoutError
        return await connect(pool, name, host, port, limit_ms)

    monkeypatch.setattr(ConnectionPool, 'connect', connect_or_wait)


def accept_without_answer(deployment):
    """Let the ports of upstreams that have ended take connections."""

    def reopen(upstream):
        async def listen():
            await asyncio.start_server(
                lambda _reader, _writer: asyncio.sleep(3600),
                upstream.host,
                upstream.port,
            )

        deployment.restarts.add(asyncio.create_task(listen()))

    for upstream in deployment.upstreams:
        upstream.on_end = reopen


async def repeat(deployment, method, pause_s, repeats):
    """Send a crashing request again and again, beside a plain one."""
    for number in range(repeats):
        poison = request(POISON, method, f'a{number}')
        await ask(deployment.address(), poison)
        await send(deployment, request(f'/unsafe/plain-{number}'))
        await asyncio.sleep(pause_s)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('pause_s', PAUSES_S)
def test_upstream_that_falls_silent_has_crashed(
    tmp_path, monkeypatch, method, pause_s
):
    """Guard against blame that is dismissed since nothing refuses connects."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            silence_connects(monkeypatch, deployment)
            await repeat(deployment, method, pause_s, REPEATS // 2)
            await wait_for_checks(deployment)
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())


def test_port_that_takes_connections_is_no_proof_of_life(tmp_path):
    """Guard against a supervisor that keeps the port of a dead upstream."""

    async def scenario():
        async with long_timeout_deployment(tmp_path) as deployment:
            crash_on_target(deployment)
            accept_without_answer(deployment)
            await repeat(deployment, 'POST', 3, REPEATS // 2)
            await wait_for_checks(deployment)
            assert crashed_count(deployment) == MAX_CRASHED

    run(scenario())
