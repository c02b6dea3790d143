"""Connections to upstreams that notice surplus bytes."""

import socket
from http import client
from typing import Any, final

from urllib3.connection import HTTPConnection


@final
class CheckedResponse(client.HTTPResponse):
    """Makes a connection unusable when more than the answer has come.

    The reader of an answer may hold surplus bytes in its buffer, where the
    connection pool cannot see them. They could be the late answer to another
    request, so nothing may follow them on the connection.

    Args:
        sock: Socket of the connection.
        args: Further arguments of the library.
        kwargs: Further arguments of the library.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        """Keep the socket."""
        super().__init__(sock, *args, **kwargs)
        self._checked_socket = sock

    def _close_conn(self) -> None:
        """Check for surplus bytes where the library ends an answer."""
        if self.fp is not None and self._has_surplus():
            _shut_down(self._checked_socket)
        super()._close_conn()  # type: ignore[misc]

    def _has_surplus(self) -> bool:
        """Return whether bytes follow the answer, without waiting."""
        reader: Any = self.fp
        timeout = self._checked_socket.gettimeout()
        try:
            self._checked_socket.settimeout(0)
        except OSError:
            return True
        try:
            surplus = reader.peek(1)
        except (OSError, ValueError):
            return True
        self._checked_socket.settimeout(timeout)
        return bool(surplus)


@final
class CheckedConnection(HTTPConnection):
    """A connection whose answers are checked for surplus bytes."""

    response_class = CheckedResponse


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
