"""Client connections that fall silent without a reset."""

import weakref

from catkindrift.http1 import ClientConnection


class SilentTransport:
    """Transport of a connection on which nothing gets through any more.

    Neither end is told: what is written is lost, and nothing is read.
    """

    def __init__(self, transport):
        self._transport = transport
        transport.pause_reading()

    def write(self, chunk):
        """Lose a chunk."""

    def pause_reading(self):
        """Ignore the call: nothing is read anyway."""

    def resume_reading(self):
        """Ignore the call: nothing is read anyway."""

    def is_closing(self):
        return self._transport.is_closing()

    def abort(self):
        self._transport.abort()

    def close(self):
        self._transport.close()


class OpenConnections:
    """All client connections of this process; each can be made silent."""

    def __init__(self, monkeypatch):
        self._known = weakref.WeakSet()
        connection_made = ClientConnection.connection_made

        def record(connection, transport):
            self._known.add(connection)
            connection_made(connection, transport)

        monkeypatch.setattr(ClientConnection, 'connection_made', record)

    def silence(self, ports):
        """Silence the connections to some ports that are open now.

        Args:
            ports: Ports of the peers.

        Returns:
            The number of connections that fell silent.
        """
        chosen = [
            each
            for each in self._known
            if each.is_open and _peer_port(each) in ports
        ]
        for each in chosen:
            each._transport = SilentTransport(each._transport)
        return len(chosen)


def _peer_port(connection):
    transport = connection._transport
    if isinstance(transport, SilentTransport):
        return None
    peer = transport.get_extra_info('peername')
    return peer[1] if peer else None
