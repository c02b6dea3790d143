"""Responses to requests that have reached no upstream."""

import asyncio

import pytest

from catkindrift.gateway._handover import Handover
from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.gateway._upstream_pool import UpstreamPool
from catkindrift.http1 import ClientConnection
from tests.platform_deployment import ask, deployed, head
from tests.test_stranded_vms import (
    arrivals,
    cut_off,
    stranded,
    taken_requests,
)

UNSAFE_REQUEST = head('/unsafe/x', 'POST')


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


class _ClosedTransport:
    """Transport that the peer has closed before anything was written."""

    def is_closing(self):
        return True

    def abort(self):
        """Do nothing."""


def closed_connection():
    """Return a connection that was closed right after it was accepted."""
    connection = ClientConnection()
    connection.connection_made(_ClosedTransport())
    return connection


def test_connection_closed_before_the_request_was_sent(tmp_path, monkeypatch):
    """Guard against a 502 when an upstream accepts and closes at once."""

    async def accept_and_close(_pool, _upstream):
        return closed_connection()

    async def scenario():
        async with deployed(tmp_path) as deployment:
            monkeypatch.setattr(UpstreamPool, 'take', lambda *_: None)
            monkeypatch.setattr(UpstreamPool, 'connect', accept_and_close)
            status, headers, _ = await ask(deployment.address(), UNSAFE_REQUEST)
            assert status == 503
            assert headers['retry-after']

    run(scenario())


def test_closed_connection_is_not_reused():
    """Guard against a request that is written to a closing connection."""
    assert not closed_connection().is_reusable


def test_error_before_the_request_was_sent(tmp_path, monkeypatch):
    """Guard against a 502 for an error of the VM's own decision."""

    def fail(*_):
        raise RuntimeError('no choice')

    async def scenario():
        async with deployed(tmp_path) as deployment:
            monkeypatch.setattr(SuspectIsolation, 'choose', fail)
            status, _, _ = await ask(deployment.address(), UNSAFE_REQUEST)
            assert status == 503

    run(scenario())


def test_hand_over_connection_closed_before_it_was_sent(tmp_path, monkeypatch):
    """Guard against a 502 when the receiver closes before the request."""

    async def accept_and_close(_handover, _receiver):
        return closed_connection()

    async def scenario():
        async with stranded(tmp_path, 'refuse') as (deployment, _):
            await cut_off(deployment)
            monkeypatch.setattr(Handover, '_connect', accept_and_close)
            before = taken_requests(deployment)
            status, _, _ = await ask(deployment.address(), UNSAFE_REQUEST)
            assert status == 503
            assert taken_requests(deployment) == before

    run(scenario())


@pytest.mark.parametrize('way_ms', [20])
def test_hand_over_leaves_time_for_the_way_back(tmp_path, way_ms):
    """Guard against a 504 while the receiver's refusal is on its way.

    The receiver must end its attempts two ways before the sender's limit.
    """

    async def scenario():
        async with stranded(tmp_path, 'refuse') as (deployment, _):
            await cut_off(deployment)
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/late', 'POST')
            )
            assert status == 200
            seen = arrivals(deployment, b'late')
            assert len(seen) == 1
            left_ms = int(seen[0][1][b'deadline-remaining'])
            # The caller states 1500 ms, of which the sender leaves 30.
            assert left_ms <= 1470 - 2 * way_ms

    run(scenario())
