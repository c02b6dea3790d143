"""Limit on the open connections of all servers of a process."""

import resource
from typing import Protocol, final

import attrs

# Connections of clients may take this part of the descriptors of a process;
# the rest is for upstreams, the store, other entry VMs and files.
_SHARE = 0.625
# Far above what one process can serve, for processes without a limit.
_MOST = 65_536


def default_limit() -> int:
    """Return the limit that the process's limit on descriptors allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return _MOST
    return min(int(soft * _SHARE), _MOST)


class WaitingConnection(Protocol):
    """Connection that can be closed to make room for another."""

    @property
    def has_request(self) -> bool:
        """Whether a request on it has no complete response yet."""

    def close(self) -> None:
        """Close the connection."""


@final
@attrs.define(eq=False, repr=False)
class ConnectionLimit:
    """Closes connections that wait for a request if there are too many.

    The one that has waited longest is closed first.

    Args:
        max_count: Most open connections; shared by all servers that use this
            instance.
    """

    _max_count: int = attrs.field(factory=default_limit)
    _open: dict[WaitingConnection, bool] = attrs.field(init=False, factory=dict)

    def add(self, connection: WaitingConnection) -> None:
        """Add a connection, and close another one if there are too many."""
        self._open[connection] = True
        if len(self._open) > self._max_count:
            self._close_longest_waiting()

    def record_response(self, connection: WaitingConnection) -> None:
        """Record that a connection waits for its next request from now on."""
        if self._open.pop(connection, False):
            self._open[connection] = True

    def discard(self, connection: WaitingConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)

    def _close_longest_waiting(self) -> None:
        for connection in self._open:
            if not connection.has_request:
                self._open.pop(connection)
                connection.close()
                return
