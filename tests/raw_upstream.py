"""Upstream that sends scripted bytes, to violate the protocol."""

import contextlib
import select
import socket
import threading


class RawUpstream:
    """Serves scripted responses on loopback.

    Args:
        responses: Bytes for each connection in turn; the last is repeated.
        is_kept_open: Whether connections stay open after the response.
        delay: Seconds before each response.
        until: Last bytes of a request; by default the first bytes received
            count as the whole request.
    """

    def __init__(self, *responses, is_kept_open=False, delay=0, until=b''):
        """Listen and serve in a thread of its own."""
        self.connections = 0
        self.aborted_requests = 0
        self.requests = []
        self._responses = responses
        self._is_kept_open = is_kept_open
        self._delay = delay
        self._until = until
        self._stop = threading.Event()
        self._socket = socket.create_server(('127.0.0.1', 0))
        self._socket.settimeout(0.1)
        self.port = self._socket.getsockname()[1]
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def stop(self):
        """Close the listener and wait for the thread."""
        self._stop.set()
        self._thread.join()
        self._socket.close()

    def _serve(self):
        kept = []
        while not self._stop.is_set():
            try:
                connection, _ = self._socket.accept()
            except TimeoutError:
                continue
            with contextlib.suppress(OSError):
                self._respond(connection)
            if self._is_kept_open:
                kept.append(connection)
            else:
                connection.close()
        for connection in kept:
            connection.close()

    def _respond(self, connection):
        number = min(self.connections, len(self._responses) - 1)
        self.connections += 1
        connection.settimeout(2)
        received = connection.recv(65_536)
        while not received.endswith(self._until):
            received += connection.recv(65_536)
        self.requests.append(received)
        self._stop.wait(self._delay)
        self.aborted_requests += is_closed_by_peer(connection)
        connection.sendall(self._responses[number])


def is_closed_by_peer(connection):
    """Return whether the peer has closed or reset the connection."""
    readable, _, _ = select.select([connection], [], [], 0)
    try:
        return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
    except ConnectionError:
        return True
