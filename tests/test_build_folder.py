"""What runs is the sources, whatever stands in the build folder.

Guards against a build folder that was carried over from another commit: its
copy of the sources ran in their place, and nothing told so.
"""

import asyncio
import logging
import os
import shlex
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

from catkindrift.build import running_build
from catkindrift.compile_sources import compile_sources
from catkindrift.source_loader import CompiledSources, SourceFinder
from tests.deployment import HTTP
from tests.platform_deployment import ask, deployed

ROOT = Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
OLD_PROGRAM = 'print("old code runs")\n'
LIBRARIES = sysconfig.get_path('purelib')


@pytest.fixture
def checkout(tmp_path):
    """Return a copy of what the platform has, with an empty build folder."""
    ignored = shutil.ignore_patterns('__pycache__')
    for name in ('src', 'deploy', 'requirements'):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    (tmp_path / 'target/deps').mkdir(parents=True)
    return tmp_path


def start(checkout, *libraries):
    """Start an entry VM without settings, as the platform would."""
    _, *arguments = shlex.split(DEPLOY['roles']['entry']['run'])
    path = ':'.join((str(checkout / 'target/deps'), *libraries))
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=checkout,
        env={'PATH': os.environ['PATH'], 'PYTHONPATH': path},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def add_old_copy(checkout):
    """Put another version of the program into the build folder."""
    copy = checkout / 'target/deps/catkindrift'
    shutil.copytree(checkout / 'src/catkindrift', copy)
    for name in ('entry_vm.py', 'source_loader.py', '__init__.py'):
        (copy / name).write_text(OLD_PROGRAM)


def test_carried_over_copy_never_runs(checkout):
    """The old program ran without a word of it."""
    add_old_copy(checkout)
    ended = start(checkout, LIBRARIES)
    assert 'old code runs' not in ended.stdout
    assert 'no settings file' in ended.stderr
    assert ended.returncode == 2


def test_code_of_other_sources_never_runs(checkout):
    """Size and time of a file are the same in two commits, at times."""
    package = checkout / 'src/catkindrift'
    changed = package / 'entry_vm.py'
    kept = changed.read_bytes()
    times = changed.stat().st_atime_ns, changed.stat().st_mtime_ns
    changed.write_bytes(OLD_PROGRAM.encode().ljust(len(kept), b'#'))
    os.utime(changed, ns=times)
    compile_sources(str(package), str(checkout / 'target/compiled'))
    changed.write_bytes(kept)
    os.utime(changed, ns=times)
    ended = start(checkout, LIBRARIES)
    assert 'old code runs' not in ended.stdout
    assert ended.returncode == 2


@pytest.mark.parametrize('kept_bytes', [0, 3, 4, 5, 9, 4000, 900000, -1])
def test_damaged_code_of_a_build_is_not_used(checkout, kept_bytes):
    """A build or a copy that broke off would keep VMs from starting."""
    target = checkout / 'target/compiled'
    compile_sources(str(checkout / 'src/catkindrift'), str(target))
    target.write_bytes(target.read_bytes()[:kept_bytes])
    assert start(checkout, LIBRARIES).returncode == 2


def test_code_of_the_build_is_used_where_it_may(checkout):
    """A start that compiles takes seconds in place of a third of one."""
    folder = str(checkout / 'src/catkindrift')
    target = str(checkout / 'target/compiled')
    compile_sources(folder, target)
    (checkout / 'src/catkindrift/jitter.py').write_text('jitter = 1\n')
    finder = SourceFinder(folder, CompiledSources(target))
    for name in ('catkindrift.clock', 'catkindrift.jitter'):
        spec = finder.find_spec(name)
        assert spec.loader.get_code(name)
    assert finder.stale_count == 1
    finder.release()
    assert finder.find_spec('catkindrift.errors').loader.get_code('errors')
    assert finder.stale_count == 2
    (checkout / 'src/catkindrift/rendezvous.py').write_text('changed = 1\n')
    with pytest.raises(ImportError, match='restart it'):
        finder.find_spec('catkindrift.rendezvous').loader.get_code('rendezvous')
    assert finder.find_spec('catkindrift.absent') is None
    assert finder.find_spec('catkindrift_other') is None


def test_failed_compilation_leaves_the_build_as_it_was(checkout):
    """Half of a build would be taken for a whole one."""
    target = checkout / 'target/compiled'
    target.write_text('before')
    (checkout / 'src/catkindrift/jitter.py').write_text('jitter =\n')
    with pytest.raises(SyntaxError):
        compile_sources(str(checkout / 'src/catkindrift'), str(target))
    assert target.read_text() == 'before'


def test_failed_build_leaves_nothing_to_run(checkout):
    """The libraries of another machine would run, or break later."""
    add_old_copy(checkout)
    (checkout / 'target/compiled').write_text('before')
    tools = checkout / 'tools'
    tools.mkdir()
    (tools / 'python3').write_text('#!/bin/sh\nexit 1\n')
    (tools / 'python3').chmod(0o755)
    path = f'{tools}:{os.environ["PATH"]}'
    built = subprocess.run(
        DEPLOY['build'],
        shell=True,
        cwd=checkout,
        env={'PATH': path},
        check=False,
    )
    assert built.returncode
    assert not (checkout / 'target/deps').exists()
    assert not (checkout / 'target/compiled').exists()


def test_missing_library_is_named_with_the_remedy(checkout):
    """Libraries of another kind of machine can't be loaded either."""
    ended = start(checkout)
    assert ended.returncode == 1
    assert 'No module named' in ended.stderr
    remedy = 'run the build command of deploy/system.toml'
    assert f'a library cannot be loaded; {remedy}' in ended.stderr


def test_libraries_of_other_requirements_are_named(checkout):
    """Old libraries run with new sources, and nobody would know."""
    warning = 'are not those of requirements/gateway.txt'
    assert warning in start(checkout, LIBRARIES).stderr
    shutil.copy(
        checkout / 'requirements/gateway.txt',
        checkout / 'target/deps/requirements.txt',
    )
    assert warning not in start(checkout, LIBRARIES).stderr


def digest_of(package):
    """Return the digest of the sources in a folder."""
    return SourceFinder(str(package), CompiledSources('')).digest


def test_digest_tells_sources_apart(checkout):
    """Two builds with one digest could not be told apart by operators."""
    package = checkout / 'src/catkindrift'
    digest = digest_of(package)
    assert digest == digest_of(ROOT / 'src/catkindrift')
    (package / 'jitter.py').rename(package / 'jitters.py')
    renamed = digest_of(package)
    (package / 'jitters.py').write_text('jitter = 1\n')
    assert len({digest, renamed, digest_of(package)}) == 3


def expected_metric():
    """Return the line by which a process serves its build."""
    digest = digest_of(ROOT / 'src/catkindrift')
    return f'catkindrift_build_info{{digest="{digest}"}} 1.0'


def test_entry_vm_logs_and_serves_its_build(tmp_path, caplog):
    """Operators could not see that a process ran other sources."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            _, _, page = await ask(
                ('127.0.0.1', deployment.fields[0]['internal_ports'][1]),
                b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n',
            )
            return page.decode()

    with caplog.at_level(logging.INFO):
        assert expected_metric() in asyncio.run(scenario())
    assert f'runs build {running_build().digest}' in caplog.text


def test_own_interface_serves_its_build(running):
    """The same for entry VMs of the product's own interface."""
    page = HTTP.request('GET', f'{running.operators_url()}/metrics').data
    assert expected_metric() in page.decode()
