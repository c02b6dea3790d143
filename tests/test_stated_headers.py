"""Headers that entry VMs set for each other are believed from no one else."""

import asyncio
import contextlib

import pytest

from catkindrift.workspaces import key_digest
from tests.platform_deployment import ask, head
from tests.stranded import UpstreamCut
from tests.test_callers import WHOLE, receive_until, request
from tests.test_connection_options import (
    seen_by,
    send_until_cut_off,
    strict_deployment,
)

KEY = b'somebody-else'
STATED = (
    'catkindrift-caller: 192.0.2.7\r\n'
    'Catkindrift-Configuration: 4294967295\r\n'
    f'CATKINDRIFT-Key-Digest: {key_digest(KEY).hex()}\r\n'
)
OWN = 'catkindrift-caller: 10.0.0.7\r\ncatkindrift-configuration: 1\r\n'


@contextlib.asynccontextmanager
async def handing_over(folder, extra=b''):
    """Run three entry VMs, of which the first hands its requests over."""
    with contextlib.ExitStack() as stack:
        cut = UpstreamCut('refuse')
        cut.apply(stack)
        async with strict_deployment(folder, extra, 3, 6) as deployment:
            cut.begin(deployment.gateways[0])
            await send_until_cut_off(deployment)
            for upstream in deployment.upstreams:
                upstream.seen.clear()
            yield deployment


def record_hand_overs(deployment):
    """Return a list of what receivers take for the requests' callers."""
    taken = []

    def recording(forward):
        async def record(handed, digest):
            taken.append((handed.caller, digest))
            return await forward(handed, digest)

        return record

    for gateway in deployment.gateways:
        handed_over = gateway._parts.handed_over
        handed_over._forward = recording(handed_over._forward)
    return taken


def test_caller_states_nothing_of_a_hand_over(tmp_path):
    """It would speak for another address, workspace and configuration."""

    async def scenario():
        async with handing_over(tmp_path) as deployment:
            taken = record_hand_overs(deployment)
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST', extra=STATED)
            )
            assert status == 200
            assert taken == [('127.0.0.1', None)]
            names = b' '.join(
                name for seen in seen_by(deployment) for name, _ in seen.headers
            )
            assert names
            assert b'catkindrift' not in names

    asyncio.run(scenario())


def test_receiver_believes_the_last_line_only(tmp_path):
    """Senders of an earlier build pass their callers' lines on before it."""

    async def scenario():
        async with strict_deployment(tmp_path) as deployment:
            taken = record_hand_overs(deployment)
            peers = deployment.gateways[0]._parts.heartbeats.own_member.peers
            host, _, port = peers.partition(':')
            sent = head('/unsafe/x', 'POST', extra=f'{STATED}{OWN}')
            status, _, _ = await ask((host, int(port)), sent)
            assert status == 200
            assert taken[0][0] == '10.0.0.7'

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [b'200 OK', b'503 Busy'])
def test_upstream_does_not_refuse_for_an_entry_vm(tmp_path, status):
    """An unsafe request would be handed over again after it has run."""

    async def scenario():
        marked = b'catkindrift-cut-off: 1\r\n'
        async with handing_over(tmp_path, marked) as deployment:
            for upstream in deployment.upstreams:
                upstream.status = status
            _, headers, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST')
            )
            assert len(seen_by(deployment)) == 1
            assert 'catkindrift-cut-off' not in headers

    asyncio.run(scenario())


def test_own_interface_forwards_none_of_them(connect, serve):
    """Upstreams take headers with the system's prefix for the system's."""
    upstream, _ = serve('stated', WHOLE)
    connection = connect()
    connection.sendall(request('/services/stated/x', extra=f'{STATED}X: 1\r\n'))
    receive_until(connection, b'abcd')
    assert b'X: 1' in upstream.requests[0]
    assert b'catkindrift' not in upstream.requests[0].lower()
