"""What the process of an entry VM on the platform loads when it starts."""

import subprocess
import sys

import pytest

# Of the product's own interface, of commands, or of no use before a request.
UNUSED = frozenset(
    (
        'absl',
        'cattrs',
        'certifi',
        'cherrypy',
        'email',
        'grpclib',
        'google',
        'http.server',
        'importlib.resources',
        'prometheus_client',
        'ssl',
        'structlog',
        'urllib.request',
        'urllib3',
        'catkindrift.callers',
        'catkindrift.cli',
        'catkindrift.core',
        'catkindrift.domain',
        'catkindrift.entry_settings',
        'catkindrift.limits',
        'catkindrift.retries',
        'catkindrift.routing',
        'catkindrift.strict_settings',
    )
)
LOAD = """
import sys
from catkindrift import entry_vm
entry_vm.load()
print(*sys.modules)
"""


def loaded_modules():
    """Return the modules of a process that is about to start an entry VM."""
    printed = subprocess.run(
        [sys.executable, '-S', '-c', LOAD],
        env={'PYTHONPATH': ':'.join(path for path in sys.path if path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return frozenset(printed.stdout.split())


def test_entry_vm_loads_nothing_that_it_never_calls():
    """Guard against starts in which a small VM serves nobody for a second."""
    assert not loaded_modules() & UNUSED


@pytest.mark.parametrize('module', ['ssl', 'catkindrift.strict_settings'])
def test_what_is_not_loaded_can_be_loaded_later(module):
    """The metrics page, and mistakes in settings, need more than a start."""
    subprocess.run(
        [
            sys.executable,
            '-S',
            '-c',
            'import importlib; from catkindrift import entry_vm;'
            f'entry_vm.load(); importlib.import_module("{module}")',
        ],
        env={'PYTHONPATH': ':'.join(path for path in sys.path if path)},
        timeout=60,
        check=True,
    )


def test_strict_settings_load_without_the_settings_of_entry_vms():
    """Guard against packages that import each other, as these two did."""
    printed = subprocess.run(
        [
            sys.executable,
            '-c',
            'import sys, catkindrift.strict_settings; print(*sys.modules)',
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert 'catkindrift.settings' not in printed.stdout.split()
