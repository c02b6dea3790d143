"""Allocation of free TCP ports on loopback."""

import itertools
import os
import socket
from collections.abc import Iterator

LOOPBACK = '127.0.0.1'
# Below the ephemeral ports of Linux (32768 and up): an outgoing connection
# could take one of those between the check and its use.
_FIRST_PORT = 10_000
_END_PORT = 32_000
# Distance in ports between the start positions of processes with consecutive
# process ids, so that they don't choose the same ports.
_PROCESS_STRIDE = 97


def _candidate_ports() -> Iterator[int]:
    """Yield each port once, from a start that depends on the process id."""
    count = _END_PORT - _FIRST_PORT
    start = os.getpid() * _PROCESS_STRIDE % count
    return itertools.chain(
        range(_FIRST_PORT + start, _END_PORT),
        range(_FIRST_PORT, _FIRST_PORT + start),
    )


_untried_ports = _candidate_ports()


def free_ports(count: int) -> list[int]:
    """Return unused ports; a process gets each port at most once.

    Args:
        count: Number of ports.
    """
    return list(itertools.islice(filter(_is_free, _untried_ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
