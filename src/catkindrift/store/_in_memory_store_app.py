"""HTTP server of the in-memory object store."""

import json
import time
from collections.abc import Iterable
from typing import Any, final
from urllib.parse import parse_qs, unquote

import attrs

from catkindrift.domain import unstructure
from catkindrift.errors import NotFoundError, PlatformConflictError
from catkindrift.store._in_memory_store import InMemoryStore
from catkindrift.store._injected_faults import InjectedFaults
from catkindrift.store._object import StoredObject

_MILLISECONDS_PER_SECOND = 1000
_ANY = '*'


class _DroppedResponse(Exception):
    """Makes the server close the connection without a response."""


@final
@attrs.define(eq=False, repr=False)
class InMemoryStoreApp:
    """WSGI application that serves an `InMemoryStore`.

    Args:
        store: Store that holds the objects.
        faults: Faults to simulate.
    """

    _store: InMemoryStore
    _faults: InjectedFaults

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Serve a request, with the faults that are set."""
        time.sleep(self._faults.delay_ms / _MILLISECONDS_PER_SECOND)
        if self._faults.is_down:
            return _respond(start_response, '503 Service Unavailable', {})
        try:
            body = self._serve(environ)
        except NotFoundError:
            return _respond(start_response, '404 Not Found', {})
        except PlatformConflictError:
            return _respond(start_response, '412 Precondition Failed', {})
        return _respond(start_response, '200 OK', body)

    def _serve(self, environ: Any) -> Any:
        segments = [
            unquote(segment) for segment in environ['PATH_INFO'].split('/')[1:]
        ]
        match segments:
            case ['vms']:
                return [unstructure(vm) for vm in self._store.list_vms()]
            case ['watch', kind]:
                return self._watch(kind, environ)
            case ['objects', kind]:
                return _to_dicts(self._store.list_objects(kind))
            case ['objects', kind, name]:
                return self._serve_object(kind, name, environ)
        raise NotFoundError('no such path')

    def _serve_object(self, kind: str, name: str, environ: Any) -> Any:
        match environ['REQUEST_METHOD']:
            case 'PUT':
                return self._put(kind, name, environ)
            case 'DELETE':
                self._store.delete(kind, name, _expected_version(environ))
                return {}
        return attrs.asdict(self._store.get(kind, name))

    def _watch(self, kind: str, environ: Any) -> Any:
        query = parse_qs(environ['QUERY_STRING'])
        after = int(query['after'][0])
        wait_ms = int(query['wait_ms'][0])
        return _to_dicts(self._store.wait_for_changes(kind, after, wait_ms))

    def _put(self, kind: str, name: str, environ: Any) -> Any:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        text = environ['wsgi.input'].read(length).decode()
        written = self._store.put(kind, name, text, _expected_version(environ))
        if self._faults.take_lost_response():
            raise _DroppedResponse('injected fault: response dropped')
        return {'version': written.version}


def _expected_version(environ: Any) -> int:
    if environ.get('HTTP_IF_NONE_MATCH') == _ANY:
        return 0
    return int(environ['HTTP_IF_MATCH'].strip('"'))


def _to_dicts(found: list[StoredObject]) -> list[dict[str, Any]]:
    return [attrs.asdict(each) for each in found]


def _respond(start_response: Any, status: str, body: Any) -> Iterable[bytes]:
    content = json.dumps(body).encode()
    start_response(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(content))),
        ],
    )
    return [content]
