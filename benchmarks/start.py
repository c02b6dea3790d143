"""Cost of starting an entry VM of the platform, and its dearest imports.

Run with ``python -m benchmarks.start``.
"""

import contextlib
import os
import re
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.report import show
from catkindrift.compile_sources import compile_sources

STARTS = 9
DEAREST = 20
READY_SECONDS = 20
ENVIRONMENT = {
    **os.environ,
    'PYTHONPATH': ':'.join(path for path in sys.path if path),
}
ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / 'src/catkindrift'
# As in `deploy/system.toml`.
ENTRY_VM = (sys.executable, '-S', str(PACKAGE / 'source_loader.py'))
INTERPRETER = (sys.executable, '-S', '-c', 'pass')
SETTINGS = """
[vm]
name = "front-1"
zone = "ovd-a"
region = "asturias"
[listen]
callers = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
directory = "127.0.0.1:{ports[2]}"
peers = "127.0.0.1:{ports[3]}"
metrics = "127.0.0.1:{ports[4]}"
[platform]
address = "127.0.0.1:{ports[5]}"
[zones]
ovd-a = "asturias"
"""
IMPORT_LINE = re.compile(r'import time:\s+(\d+) \|\s+(\d+) \| +(\S+)')


def free_ports(count):
    """Return ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]


def start_once(folder):
    """Start an entry VM and end it when it has sent its first heartbeat.

    Args:
        folder: Folder for the settings file.

    Returns:
        Processor time in seconds and peak memory in MB.
    """
    path = Path(folder) / 'settings.toml'
    path.write_text(SETTINGS.format(ports=free_ports(6)))
    process = subprocess.Popen(
        ENTRY_VM,
        env={**ENVIRONMENT, 'CATKINDRIFT_SETTINGS': str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    for line in process.stderr:
        if 'has started' in line:
            break
    # Unlike SIGTERM, it ends the process without a wait for callers.
    process.send_signal(signal.SIGKILL)
    process.stderr.close()
    _, _, used = os.wait4(process.pid, 0)
    process.returncode = 0
    return used.ru_utime + used.ru_stime, used.ru_maxrss / 1024


def interpreter_once():
    """Return processor time and peak memory of an empty program."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(INTERPRETER, env=ENVIRONMENT, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    seconds = (after.ru_utime + after.ru_stime) - (
        before.ru_utime + before.ru_stime
    )
    return seconds


def dearest_imports():
    """Return the imports that take the most time themselves."""
    printed = subprocess.run(
        [
            sys.executable,
            '-S',
            '-X',
            'importtime',
            '-c',
            'from catkindrift import entry_vm; entry_vm.load()',
        ],
        env=ENVIRONMENT,
        capture_output=True,
        text=True,
        timeout=READY_SECONDS,
        check=True,
    )
    found = [
        {'module': name, 'own_ms': int(own) / 1000, 'all_ms': int(total) / 1000}
        for own, total, name in IMPORT_LINE.findall(printed.stderr)
    ]
    return sorted(found, key=lambda row: row['own_ms'], reverse=True)


def main():
    """Print medians of processor time and memory, and the imports."""
    (ROOT / 'target').mkdir(exist_ok=True)
    compile_sources(str(PACKAGE), str(ROOT / 'target/compiled'))
    with tempfile.TemporaryDirectory() as folder:
        # The first start may have to write byte code of the libraries.
        start_once(folder)
        starts = [start_once(folder) for _ in range(STARTS)]
    seconds, memory = zip(*starts, strict=True)
    empty = [interpreter_once() for _ in range(STARTS)]
    show(
        'start',
        [
            {
                'starts': STARTS,
                'processor_s': statistics.median(seconds),
                'least_s': min(seconds),
                'interpreter_s': statistics.median(empty),
                'peak_mb': statistics.median(memory),
            }
        ],
    )
    show('start_imports', dearest_imports()[:DEAREST])


if __name__ == '__main__':
    main()
