"""The one-file binary starts nothing and writes only where it is told."""

import os
import subprocess
import sys
import time
from pathlib import Path

BINARY = Path('dist/catkindrift').resolve()


def children(pid):
    """Return the child processes of a process."""
    tasks = Path(f'/proc/{pid}/task')
    return [
        child
        for task in tasks.iterdir()
        for child in (task / 'children').read_text().split()
    ]


def files_below(folder):
    """Return all files below a folder."""
    return {path for path in folder.rglob('*') if path.is_file()}


class TestBinary:
    """`dist/catkindrift` is a single process."""

    def test_demo_starts_no_process(self, tmp_path):
        """A whole deployment runs without a child process."""
        home, cache, work = (tmp_path / name for name in ('h', 'c', 'w'))
        home.mkdir()
        work.mkdir()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(home),
            'SHIV_ROOT': str(cache),
        }
        with subprocess.Popen(
            # Some machines find the interpreter by a script of their own.
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
