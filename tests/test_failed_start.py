"""A deployment that cannot start releases its resources.

In a module of its own: another deployment that runs meanwhile starts threads,
which the test would take for those of the one that failed.
"""

import socket
import threading

import pytest

from catkindrift.demo import LOOPBACK, free_ports
from catkindrift.errors import CannotListenError
from tests.deployment import RunningDeployment


class TestStart:
    """A deployment that cannot start releases its resources."""

    def test_no_thread_stays(self, monkeypatch):
        """The error names the port, and no thread blocks the exit.

        A thread left running would keep the process from exiting.
        """
        before = set(threading.enumerate())
        with socket.create_server((LOOPBACK, 0)) as taken:
            port = taken.getsockname()[1]
            monkeypatch.setattr(
                'catkindrift.demo._deployment.free_ports',
                lambda count: [*free_ports(count - 1), port],
            )
            with pytest.raises(CannotListenError, match=str(port)):
                RunningDeployment()
        remaining = set(threading.enumerate()) - before
        # Threads of the event loop's executor end with the process.
        assert all('asyncio' in each.name for each in remaining)
