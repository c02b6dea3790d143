"""Free TCP ports on loopback."""

import socket

LOOPBACK = '127.0.0.1'


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now.

    Args:
        count: Number of ports.
    """
    sockets = [_bound_socket() for _ in range(count)]
    ports = [int(bound.getsockname()[1]) for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def _bound_socket() -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, 0))
    return bound
