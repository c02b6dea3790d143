"""An upstream that answers with given bytes, to break the protocol."""

import contextlib
import select
import socket
import threading


class RawUpstream:
    """Serves scripted answers on loopback.

    Args:
        answers: Bytes for each connection in turn; the last is repeated.
        is_kept_open: Leave connections open after the answer.
        delay: Seconds before each answer.
        until: Last bytes of a request; by default its first part will do.
    """

    def __init__(self, *answers, is_kept_open=False, delay=0, until=b''):
        """Listen and serve in a thread."""
        self.connections = 0
        self.abandoned = 0
        self.requests = []
        self._answers = answers
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
        """Stop serving."""
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
                self._answer(connection)
            if self._is_kept_open:
                kept.append(connection)
            else:
                connection.close()
        for connection in kept:
            connection.close()

    def _answer(self, connection):
        number = min(self.connections, len(self._answers) - 1)
        self.connections += 1
        connection.settimeout(2)
        received = connection.recv(65_536)
        while not received.endswith(self._until):
            received += connection.recv(65_536)
        self.requests.append(received)
        self._stop.wait(self._delay)
        self.abandoned += has_left(connection)
        connection.sendall(self._answers[number])


def has_left(connection):
    """Return whether the other side has closed the connection."""
    readable, _, _ = select.select([connection], [], [], 0)
    try:
        return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
    except ConnectionError:
        return True
