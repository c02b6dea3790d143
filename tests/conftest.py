"""Shared fixtures, hypothesis profiles and the known-failure filter."""

import os
import socket
import time
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings

from catkindrift.demo import _ports
from catkindrift.domain import Vm, VmRole
from tests.deployment import RunningDeployment
from tests.ports import leased_ports
from tests.raw_upstream import RawUpstream

UPSTREAM_TIMEOUT_SECONDS = 10
KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'

settings.register_profile(
    'ci',
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    'nightly',
    max_examples=2000,
    stateful_step_count=60,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def pytest_configure():
    """Use ports that no other run on this machine uses."""
    _ports._untried_ports = leased_ports()


def known_red():
    """Return the node ids of the tests listed in `KNOWN-RED.txt`."""
    prefix = 'test: '
    return {
        line.removeprefix(prefix).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(config, items):
    """Deselect the listed known failures unless RUN_KNOWN_RED is set."""
    if os.environ.get('RUN_KNOWN_RED'):
        return
    listed = known_red()
    deselected = [item for item in items if item.nodeid in listed]
    config.hook.pytest_deselected(items=deselected)
    for item in deselected:
        items.remove(item)


@pytest.fixture(scope='module')
def running():
    """Run the sample deployment for the tests of one module."""
    deployment = RunningDeployment()
    yield deployment
    deployment.stop()


@pytest.fixture
def connect(running):
    """Return a function that opens connections to the first entry VM."""
    opened = []

    def open_connection():
        host, _, port = running.callers_url()[len('http://') :].partition(':')
        connection = socket.create_connection((host, int(port)), timeout=10)
        opened.append(connection)
        return connection

    yield open_connection
    for connection in opened:
        connection.close()


@pytest.fixture
def serve(running):
    """Return a function that starts a raw upstream for a new service.

    The function returns the upstream and the URL of its service.
    """
    upstreams = []

    def start(name, *answers, vm='', **options):
        vm = vm or f'{name}-1'
        upstream = RawUpstream(*answers, **options)
        upstreams.append(upstream)
        status, _ = running.operate(
            'PUT',
            f'/v1/services/{name}',
            {'name': name, 'repeat': 'unsafe', 'deadline_ms': 3000},
        )
        assert status == 200
        running.local.store.put_vm(
            Vm(
                vm,
                'asturias-1',
                VmRole.UPSTREAM,
                '127.0.0.1',
                upstream.port,
                service=name,
                slots=4,
            ),
        )
        core = running.local.entry_vms['entry-asturias-1-1'].core
        until = time.monotonic() + UPSTREAM_TIMEOUT_SECONDS
        while time.monotonic() < until:
            if core.state.upstreams.get(vm):
                break
            time.sleep(0.05)
        return upstream, f'{running.callers_url()}/services/{name}/x'

    yield start
    for upstream in upstreams:
        upstream.stop()
