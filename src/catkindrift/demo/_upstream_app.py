"""A stand-in upstream."""

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

_PIECE_BYTES = 65_536
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class UpstreamApp:
    """Answers with the digest of what it received.

    It runs as many requests at a time as it has slots and refuses others
    before they start.

    Args:
        name: Name of the upstream.
        slots: Requests that it runs at a time.
        work_ms: Time that a request takes.
        is_leaving: Whether it says that it is leaving.
    """

    _name: str
    _slots: int
    work_ms: int = 5
    is_leaving: bool = False
    runs: int = attrs.field(init=False, default=0)
    refusals: int = attrs.field(init=False, default=0)
    busy: int = attrs.field(init=False, default=0)
    most_busy: int = attrs.field(init=False, default=0)
    paths: Counter[str] = attrs.field(init=False, factory=Counter)
    _lock: Any = attrs.field(init=False, factory=threading.Lock)

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        if not self._start():
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
            content = self._run(environ)
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(content))),
                *self._state_headers(),
            ],
        )
        return (content,)

    def _start(self) -> bool:
        with self._lock:
            if self.busy >= self._slots:
                self.refusals += 1
                return False
            self.busy += 1
            self.runs += 1
            self.most_busy = max(self.most_busy, self.busy)
            return True

    def _finish(self) -> None:
        with self._lock:
            self.busy -= 1

    def _run(self, environ: Any) -> bytes:
        digest = hashlib.sha256()
        received = 0
        self.paths[environ['PATH_INFO']] += 1
        for piece in _pieces(environ['wsgi.input']):
            digest.update(piece)
            received += len(piece)
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
        headers = [(BUSY_SLOTS_HEADER, str(self.busy))]
        if self.is_leaving:
            headers.append((STATE_HEADER, LEAVING_STATE))
        return headers


def _pieces(source: Any) -> Iterator[bytes]:
    piece = source.read(_PIECE_BYTES)
    while piece:
        yield piece
        piece = source.read(_PIECE_BYTES)
