"""Ports of a test process, apart from those of other runs on the machine."""

import socket
from contextlib import suppress

from catkindrift.demo import LOOPBACK

FIRST_PORT = 10_000
END_PORT = 32_000
BLOCK_SIZE = 200


def leased_ports():
    """Yield ports of blocks that no other process uses.

    The first port of a block is bound for datagrams, which no test does with
    it, so that another process passes over the block. It is held as long as
    the iterator.
    """
    leases = []
    for first in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
        lease = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with suppress(OSError):
            lease.bind((LOOPBACK, first))
            leases.append(lease)
            yield from range(first + 1, first + BLOCK_SIZE)
