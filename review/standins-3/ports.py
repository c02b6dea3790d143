"""Ports that are free on loopback.

They lie below those that the system takes for outgoing connections, so that
none is taken between the choice and the use, or while a process is restarted.
"""

import random
import socket

FIRST, LAST = 18_000, 31_999
_RNG = random.SystemRandom()
_given = set()


def free_port():
    """Return a port that is free for TCP and UDP, another one each time."""
    while True:
        port = _RNG.randint(FIRST, LAST)
        if port not in _given and _is_free(port):
            _given.add(port)
            return port


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True
