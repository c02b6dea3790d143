"""Cuts one entry VM off from all upstreams, inside the test process."""

import asyncio
from unittest import mock

import attrs

from catkindrift.http1 import ClientConnection, ConnectionPool


@attrs.define(eq=False)
class UpstreamCut:
    """Partitions entry VMs from all upstreams, and from nothing else.

    Args:
        how: ``refuse`` (connections are reset, new ones refused), ``hang``
            (connections and connects hang) or ``live`` (connections live on,
            new ones are refused).
        connect_delay_s: Time between the accept of a connection and its
            arrival at the entry VM.
    """

    how: str
    pools: set = attrs.field(factory=set)
    connect_delay_s: float = 0

    def apply(self, stack):
        """Replace connects and writes of the VMs that are cut off.

        Args:
            stack: Exit stack that puts them back.
        """
        connect = ConnectionPool.connect
        write = ClientConnection.write

        async def connect_unless_cut(pool, *address):
            if pool not in self.pools:
                connection = await connect(pool, *address)
                await asyncio.sleep(self.connect_delay_s)
                return connection
            if self.how == 'hang':
                await asyncio.sleep(address[-1] / 1000)
                raise TimeoutError
            raise ConnectionRefusedError

        def write_unless_cut(connection, chunk):
            if not any(self._owns(pool, connection) for pool in self.pools):
                write(connection, chunk)

        patch = mock.patch.object
        stack.enter_context(
            patch(ConnectionPool, 'connect', connect_unless_cut)
        )
        if self.how == 'hang':
            stack.enter_context(
                patch(ClientConnection, 'write', write_unless_cut)
            )

    def begin(self, gateway):
        """Cut an entry VM off."""
        pool = gateway._parts.pool._connections
        self.pools.add(pool)
        if self.how == 'refuse':
            for connections in tuple(pool._open.values()):
                for connection in tuple(connections):
                    connection.abort()

    def end(self):
        """Heal the cut."""
        self.pools.clear()

    def end_for(self, gateway):
        """Heal the cut of one entry VM."""
        self.pools.discard(gateway._parts.pool._connections)

    def _owns(self, pool, connection):
        return any(connection in each for each in pool._open.values())
