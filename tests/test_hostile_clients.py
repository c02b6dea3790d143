"""Processes under clients that break limits keep within their machine."""

import asyncio
import contextlib
import functools
import logging
from types import MappingProxyType

import attrs
import pytest

from tests.entry_vm_processes import READY, process_deployment
from tests.hostile_clients import (
    ANSWER_S,
    Crowd,
    discard,
    endless_frames,
    endless_messages,
    garbage_datagrams,
    made_up_heartbeats,
    open_head,
    send_datagrams,
    slow_head,
    stay_silent,
    unfinished_headers,
    unknown_maps,
    write_endlessly,
)
from tests.own_entry_vm_processes import PROBE, own_deployment
from tests.platform_deployment import (
    SAFE,
    UNSAFE,
    UPLOAD,
    free_port,
    head,
)

_LOG = logging.getLogger(__name__)
# The smallest machine of the users' pages.
MAX_BYTES = 152 * 1024 * 1024
# Descriptors of a process that may open 256.
DESCRIPTOR_LIMIT = 256
MAX_DESCRIPTORS = 240
CLIENTS = 40
FORM_S = 1.5
DATAGRAM_S = 6
SLOW_CLIENTS = 300
SLOW_HEAD_BYTES = 16_000
SLOW_S = 5
SILENT_CLIENTS = 400
SILENT_S = 5
HEADER_BYTES = 16_384
LIMITS = MappingProxyType(
    {
        'max_header_bytes': HEADER_BYTES,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
)
ROUTES = tuple(
    {**each, 'timeout_s': ANSWER_S} for each in (SAFE, UNSAFE, UPLOAD)
)
ORDINARY = head('/safe/x', deadline=ANSWER_S * 1000)
ATTEMPT = b'Attempt-Id: a1\r\nDeadline-Remaining: 1500\r\n'
OWN_READY = b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n'
# Replaces `-m MODULE` by the same with fewer descriptors.
LIMITED = (
    '-c',
    'import resource, runpy, sys\n'
    f'limits = ({DESCRIPTOR_LIMIT}, {DESCRIPTOR_LIMIT})\n'
    'resource.setrlimit(resource.RLIMIT_NOFILE, limits)\n'
    'sys.argv = sys.argv[2:]\n'
    "runpy.run_module(sys.argv[0], run_name='__main__', alter_sys=True)\n",
)
# Small requests and uploads of the listeners, without the end of their heads.
GETS = MappingProxyType(
    {
        'front': open_head('GET', '/safe/x', ATTEMPT),
        'ready': open_head('GET', '/readiness'),
        'directory': open_head('GET', '/resolve?region=asturias&zone=ovd-a'),
        'peers': open_head('GET', '/list/config/0'),
        'metrics': open_head('GET', '/metrics'),
    }
)
UPLOADS = MappingProxyType(
    {
        **dict.fromkeys(GETS, open_head('POST', '/x')),
        'front': open_head('POST', '/upload/x', ATTEMPT),
    }
)
OWN_GETS = MappingProxyType(
    {
        'callers': open_head('GET', '/services/safe/x'),
        'operators': open_head('GET', '/healthz'),
    }
)
OWN_UPLOADS = MappingProxyType(
    {
        'callers': open_head('POST', '/services/upload/x'),
        'operators': open_head('POST', '/v1/plans'),
    }
)


def address_of(vm, kind):
    """Return host and port of any listener of a VM of the platform."""
    internal = ('peers', 'metrics')
    if kind not in internal:
        return vm.address(kind)
    port = vm.fields['internal_ports'][internal.index(kind)]
    return vm.fields['ip'], port


@contextlib.asynccontextmanager
async def platform_crowd(folder, *options):
    """Run one process of the platform for clients that break limits.

    Args:
        folder: Folder for settings files and logs.
        options: Options of its interpreter.
    """

    async def prepare(platform):
        await platform.configure(2, ROUTES, **LIMITS)

    async with process_deployment(
        folder, vms=0, routes=ROUTES, prepare=prepare
    ) as deployment:
        vm = deployment.create_vm('front-1')
        await vm.start(*options)
        await vm.wait_ready()
        crowd = Crowd(
            vm, ((vm.address(), ORDINARY), (vm.address('ready'), READY))
        )
        crowd.record('none')
        yield crowd
        _LOG.info('%s', crowd.summary)


@contextlib.asynccontextmanager
async def own_crowd(folder, *options):
    """Run processes of the own interface, one of them for such clients.

    Args:
        folder: Folder for settings files and logs.
        options: Options of the interpreter of that one.
    """
    async with own_deployment(
        folder, work_ms=5, max_header_bytes=HEADER_BYTES
    ) as deployment:
        # Reading endless uploads takes too long in the usual upstreams.
        sink = await asyncio.start_server(discard, '127.0.0.1', 0)
        store = deployment.local.store
        for each in store.list_vms():
            if each.service == 'upload':
                port = sink.sockets[0].getsockname()[1]
                store.put_vm(attrs.evolve(each, port=port))
        vm = deployment.vms[0]
        await vm.stop()
        await vm.start(*options)
        await vm.wait_ready()
        crowd = Crowd(
            vm, ((vm.address(), PROBE), (vm.address('operators'), OWN_READY))
        )
        crowd.record('none')
        yield crowd
        _LOG.info('%s', crowd.summary)


async def write_all(crowd, address, messages):
    """Let clients write each of some messages without end, in turn.

    Args:
        crowd: The clients.
        address: Host and port that they connect to.
        messages: What all of them send at a time.
    """
    for message in messages:
        clients = [write_endlessly(address, message) for _ in range(CLIENTS)]
        await crowd.run(message.name, clients, FORM_S)


async def hold_all(crowd, address, start):
    """Let clients send a start each and keep their connections open."""
    clients = [stay_silent(address, start) for _ in range(SLOW_CLIENTS)]
    await crowd.run('slow heads', clients, SLOW_S)


async def connect_all(crowd, address):
    """Let more clients connect than the process may open descriptors."""
    clients = [stay_silent(address) for _ in range(SILENT_CLIENTS)]
    await crowd.run('silent', clients, SILENT_S)


@pytest.mark.parametrize('kind', GETS)
def test_endless_messages_stay_within_memory(tmp_path, kind):
    """Guard against a crowd that takes all memory of an entry VM."""

    async def scenario():
        async with platform_crowd(tmp_path) as crowd:
            address = address_of(crowd.vm, kind)
            messages = endless_messages(GETS[kind], UPLOADS[kind])
            await write_all(crowd, address, messages)
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', GETS)
def test_slow_heads_stay_within_memory(tmp_path, kind):
    """Guard against heads that are kept in memory until they time out."""

    async def scenario():
        async with platform_crowd(tmp_path) as crowd:
            start = slow_head(GETS[kind], SLOW_HEAD_BYTES)
            await hold_all(crowd, address_of(crowd.vm, kind), start)
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ['garbage', 'maps', 'heartbeats'])
def test_datagrams_stay_within_memory(tmp_path, kind):
    """Guard against datagrams that are kept, or whose senders are."""
    peers = f'127.0.0.1:{free_port()}'
    create = {
        'garbage': garbage_datagrams,
        'maps': unknown_maps,
        'heartbeats': functools.partial(made_up_heartbeats, peers=peers),
    }[kind]

    async def scenario():
        async with platform_crowd(tmp_path) as crowd:
            address = address_of(crowd.vm, 'peers')
            clients = [
                send_datagrams(address, create(number))
                for number in range(CLIENTS)
            ]
            await crowd.run(kind, clients, DATAGRAM_S)
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


def test_silent_clients_stay_within_descriptors(tmp_path):
    """Guard against clients that take all descriptors of an entry VM."""

    async def scenario():
        async with platform_crowd(tmp_path, *LIMITED) as crowd:
            await connect_all(crowd, crowd.vm.address())
        assert crowd.descriptors <= MAX_DESCRIPTORS, crowd.summary
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', [*OWN_GETS, 'peers'])
def test_own_endless_messages_stay_within_memory(tmp_path, kind):
    """Guard against a crowd that takes all memory of `catkindrift entry`."""
    if kind == 'peers':
        messages = endless_frames()
    else:
        messages = endless_messages(OWN_GETS[kind], OWN_UPLOADS[kind])

    async def scenario():
        async with own_crowd(tmp_path) as crowd:
            await write_all(crowd, crowd.vm.address(kind), messages)
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', [*OWN_GETS, 'peers'])
def test_own_slow_heads_stay_within_memory(tmp_path, kind):
    """Guard against heads that are kept in memory until they time out."""
    if kind == 'peers':
        start = unfinished_headers(SLOW_HEAD_BYTES)
    else:
        start = slow_head(OWN_GETS[kind], SLOW_HEAD_BYTES)

    async def scenario():
        async with own_crowd(tmp_path) as crowd:
            await hold_all(crowd, crowd.vm.address(kind), start)
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())


def test_own_silent_clients_stay_within_descriptors(tmp_path):
    """Guard against clients that take all descriptors of a process."""

    async def scenario():
        async with own_crowd(tmp_path, *LIMITED) as crowd:
            await connect_all(crowd, crowd.vm.address())
        assert crowd.descriptors <= MAX_DESCRIPTORS, crowd.summary
        assert crowd.peak_bytes <= MAX_BYTES, crowd.summary

    asyncio.run(scenario())
