"""The single-file binary starts no process and writes only to its cache."""

import os
import subprocess
import sys
import time
from pathlib import Path

BINARY = Path('dist/catkindrift').resolve()


def children(pid):
    """Return the process ids of the children of a process."""
    tasks = Path(f'/proc/{pid}/task')
    return [
        child
        for task in tasks.iterdir()
        for child in (task / 'children').read_text().split()
    ]


def files_below(folder):
    """Return all files below a directory."""
    return {path for path in folder.rglob('*') if path.is_file()}


class TestBinary:
    """`dist/catkindrift` is a single process."""

    def test_demo_starts_no_process(self, tmp_path):
        """A complete deployment runs without child processes.

        It writes files to ``SHIV_ROOT`` only, not to the home or the working
        directory.
        """
        home, cache, work = (tmp_path / name for name in ('h', 'c', 'w'))
        home.mkdir()
        work.mkdir()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(home),
            'SHIV_ROOT': str(cache),
        }
        with subprocess.Popen(
            # On some machines the interpreter on the PATH is a wrapper script.
            [sys._base_executable, BINARY, 'demo', '--seconds', '4'],
            cwd=work,
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            seen = set()
            while process.poll() is None:
                try:
                    seen.update(children(process.pid))
                except OSError:
                    break
                time.sleep(0.02)
            printed = process.stdout.read()
        assert process.returncode == 0
        assert 'stopped' in printed
        assert not seen
        assert files_below(cache)
        assert not files_below(home) | files_below(work)
