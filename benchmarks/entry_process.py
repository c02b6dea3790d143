"""Entry VM in its own process, with fake platform and upstreams."""

import asyncio
import contextlib
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import attrs
import urllib3

from catkindrift.demo import LocalDeployment, sample_deployment

READY_SECONDS = 15
SETTINGS = """
[vm]
name = "{vm.name}"
zone = "{vm.zone}"
region = "{vm.region}"
[listen]
callers = "{listen.callers}"
operators = "{listen.operators}"
peers = "{listen.peers}"
[platform]
url = "{url}"
"""


@attrs.frozen
class EntryProcess:
    """URLs and process id of an entry VM, and the URL of an upstream."""

    callers: str
    operators: str
    upstream: str
    pid: int


@contextlib.contextmanager
def entry_process(work_ms=5):
    """Run one entry VM in a subprocess and its dependencies in a thread.

    Args:
        work_ms: Service time of the upstreams.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    local = LocalDeployment(sample_deployment(), work_ms=work_ms)
    _run_in_loop(loop, local.start(with_entry_vms=False))
    settings = next(iter(local.settings.values()))
    for name in list(local.settings)[1:]:
        local.store.remove_vm(name)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'entry.toml'
        path.write_text(
            SETTINGS.format(
                vm=settings.vm,
                listen=settings.listen,
                url=local.platform_url,
            ),
        )
        command = [
            *(sys.executable, '-m', 'catkindrift'),
            *('entry', '--settings', str(path)),
        ]
        with subprocess.Popen(command, stderr=subprocess.DEVNULL) as process:
            upstream = next(
                vm for vm in local.store.list_vms() if vm.service == 'tariffs'
            )
            addresses = EntryProcess(
                f'http://{settings.listen.callers}',
                f'http://{settings.listen.operators}',
                f'http://127.0.0.1:{upstream.port}',
                process.pid,
            )
            _wait_until_ready(addresses)
            yield addresses
            process.kill()
    _run_in_loop(loop, local.stop())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


def cpu_seconds(pid):
    """Return the CPU time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * 4096


def _run_in_loop(loop, coroutine):
    return asyncio.run_coroutine_threadsafe(coroutine, loop).result(60)


def _wait_until_ready(addresses):
    http = urllib3.PoolManager(retries=False)
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f'{addresses.operators}/readyz'
            if http.request('GET', url).status == 200:
                return
        time.sleep(0.05)
    raise TimeoutError('the entry VM is not ready')
