"""Free TCP ports on loopback."""

import itertools
import os
import socket
from collections.abc import Iterator

LOOPBACK = '127.0.0.1'
# Below the ports that Linux gives to outgoing connections (32768 and up): one
# of those could take a port between its choice and its use.
_FIRST_PORT = 10_000
_END_PORT = 32_000
# Ports between the first choices of processes that start one after the other.
_PROCESS_STRIDE = 97


def _candidate_ports() -> Iterator[int]:
    """Yield each port once, from a place that differs between processes."""
    count = _END_PORT - _FIRST_PORT
    start = os.getpid() * _PROCESS_STRIDE % count
    return itertools.chain(
        range(_FIRST_PORT + start, _END_PORT),
        range(_FIRST_PORT, _FIRST_PORT + start),
    )


_untried_ports = _candidate_ports()


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now, each once in a process.

    Args:
        count: Number of ports.
    """
    return list(itertools.islice(filter(_is_free, _untried_ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
