"""Shared fixtures and profiles."""

import os
import time
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings

from catkindrift.domain import Vm, VmRole
from tests.deployment import RunningDeployment
from tests.raw_upstream import RawUpstream

SETTLE_SECONDS = 10
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


def known_red():
    """Return the ids of the tests that the file of known failures names."""
    prefix = 'test: '
    return {
        line.removeprefix(prefix).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(config, items):
    """Leave out exactly the known failures, unless they are asked for."""
    if os.environ.get('RUN_KNOWN_RED'):
        return
    listed = known_red()
    left_out = [item for item in items if item.nodeid in listed]
    config.hook.pytest_deselected(items=left_out)
    for item in left_out:
        items.remove(item)


@pytest.fixture(scope='module')
def running():
    """Run the sample deployment for the tests of one module."""
    deployment = RunningDeployment()
    yield deployment
    deployment.stop()


@pytest.fixture
def serve(running):
    """Put a raw upstream behind a service of its own."""
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
        until = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < until:
            if core.state.upstreams.get(vm):
                break
            time.sleep(0.05)
        return upstream, f'{running.callers_url()}/services/{name}/x'

    yield start
    for upstream in upstreams:
        upstream.stop()
