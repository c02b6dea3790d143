"""WSGI application that simulates an upstream."""

import contextlib
import hashlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, final

import attrs

from catkindrift.callers import (
    BUSY_SLOTS_HEADER,
    LEAVING_STATE,
    OUTCOME_HEADER,
    STATE_HEADER,
)

_CHUNK_BYTES = 65_536
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class UpstreamApp:
    """Responds with the size and SHA-256 digest of the request body.

    Requests beyond the number of slots get a 503 response without being run.

    Args:
        name: Name of the upstream.
        slots: Maximum number of concurrent requests.
        work_ms: Processing time of a request.
        is_leaving: Whether responses announce that the upstream shuts down.
    """

    _name: str
    _slots: int
    work_ms: int = 5
    is_leaving: bool = False
    started_requests: int = attrs.field(init=False, default=0)
    refused_requests: int = attrs.field(init=False, default=0)
    in_flight: int = attrs.field(init=False, default=0)
    max_in_flight: int = attrs.field(init=False, default=0)
    requests_by_path: Counter[str] = attrs.field(init=False, factory=Counter)
    _lock: Any = attrs.field(init=False, factory=threading.Lock)

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve one WSGI request."""
        if not self._try_start():
            start_response(
                '503 Service Unavailable',
                [
                    ('Content-Length', '0'),
                    ('Connection', 'close'),
                    (OUTCOME_HEADER, 'not_run'),
                    *self._state_headers(),
                ],
            )
            return ()
        with contextlib.ExitStack() as stack:
            stack.callback(self._finish)
            content = self._handle(environ)
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(content))),
                *self._state_headers(),
            ],
        )
        return (content,)

    def _try_start(self) -> bool:
        with self._lock:
            if self.in_flight >= self._slots:
                self.refused_requests += 1
                return False
            self.in_flight += 1
            self.started_requests += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            return True

    def _finish(self) -> None:
        with self._lock:
            self.in_flight -= 1

    def _handle(self, environ: Any) -> bytes:
        digest = hashlib.sha256()
        received = 0
        self.requests_by_path[environ['PATH_INFO']] += 1
        for chunk in _read_chunks(environ['wsgi.input']):
            digest.update(chunk)
            received += len(chunk)
        time.sleep(self.work_ms / _MILLISECONDS_PER_SECOND)
        return json.dumps(
            {
                'upstream': self._name,
                'method': environ['REQUEST_METHOD'],
                'path': environ['PATH_INFO'],
                'bytes': received,
                'sha256': digest.hexdigest(),
            },
        ).encode()

    def _state_headers(self) -> list[tuple[str, str]]:
        headers = [(BUSY_SLOTS_HEADER, str(self.in_flight))]
        if self.is_leaving:
            headers.append((STATE_HEADER, LEAVING_STATE))
        return headers


def _read_chunks(source: Any) -> Iterator[bytes]:
    chunk = source.read(_CHUNK_BYTES)
    while chunk:
        yield chunk
        chunk = source.read(_CHUNK_BYTES)
