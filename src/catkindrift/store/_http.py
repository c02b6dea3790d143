"""HTTP client of the platform's object store."""

import asyncio
import json
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, final
from urllib.parse import quote

import attrs
import urllib3

from catkindrift.domain import Vm, decode_json
from catkindrift.errors import (
    NotFoundError,
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from catkindrift.store._object import StoredObject
from catkindrift.store._open_connections import OpenConnections

_MILLISECONDS_PER_SECOND = 1000
_GET = 'GET'
_THREADS = 8
_REMEDY = 'check platform.url and the state of the platform'


@final
@attrs.define
class HttpPlatform:
    """Implements `Platform` over HTTP, with blocking calls in threads.

    Args:
        url: Base URL of the object store.
        timeout_ms: Timeout of a call in milliseconds, without the time that a
            watch waits for changes.
    """

    _url: str
    _timeout_ms: int
    _connections: OpenConnections = attrs.field(init=False)
    _threads: ThreadPoolExecutor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the connection pool and the thread pool."""
        self._connections = OpenConnections(_THREADS)
        self._threads = ThreadPoolExecutor(_THREADS, 'platform')

    def close(self) -> None:
        """Close all connections, so that no watch keeps the process."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._connections.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or None if the object does not exist."""
        try:
            return _decode_object(
                kind, await self._call(_GET, _object_path(kind, name))
            )
        except NotFoundError:
            return None

    async def list_objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""
        return _decode_objects(kind, await self._call(_GET, _object_path(kind)))

    async def create(self, kind: str, name: str, text: str) -> StoredObject:
        """Create an object."""
        response = await self._call(
            'PUT',
            _object_path(kind, name),
            {'If-None-Match': '*'},
            text,
        )
        return StoredObject(kind, name, response['version'], text)

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known` if its version is still the newest."""
        response = await self._call(
            'PUT',
            _object_path(known.kind, known.name),
            {'If-Match': f'"{known.version}"'},
            text,
        )
        return attrs.evolve(known, version=response['version'], text=text)

    async def delete(self, known: StoredObject) -> None:
        """Delete `known` if its version is still the newest."""
        await self._call(
            'DELETE',
            _object_path(known.kind, known.name),
            {'If-Match': f'"{known.version}"'},
        )

    async def watch(
        self,
        kind: str,
        after_version: int,
        wait_ms: int,
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that changed after a version."""
        path = f'/watch/{quote(kind)}?after={after_version}&wait_ms={wait_ms}'
        return _decode_objects(
            kind, await self._call(_GET, path, wait_ms=wait_ms)
        )

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list."""
        listed = await self._call(_GET, '/vms')
        return decode_json(json.dumps(listed), tuple[Vm, ...])

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: str | None = None,
        wait_ms: int = 0,
    ) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads,
            self._call_blocking,
            method,
            path,
            headers,
            body,
            wait_ms,
        )

    def _call_blocking(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: str | None,
        wait_ms: int,
    ) -> Any:
        timeout_ms = self._timeout_ms + wait_ms
        try:
            response = self._connections.http.request(
                method,
                f'{self._url}{path}',
                body=body,
                headers=headers,
                timeout=timeout_ms / _MILLISECONDS_PER_SECOND,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise PlatformUnavailableError(
                f'the platform cannot be reached; {_REMEDY}',
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise _no_response_error(method) from error
        return _decode_response(method, response.status, response.data)


def _no_response_error(method: str) -> Exception:
    if method == _GET:
        return PlatformUnavailableError(f'no response to a read; {_REMEDY}')
    return PlatformAmbiguousError(
        'no response to a write; read the object before retrying',
    )


def _decode_response(method: str, status: int, body: bytes) -> Any:
    match status:
        case HTTPStatus.OK | HTTPStatus.CREATED:
            return json.loads(body)
        case HTTPStatus.NO_CONTENT:
            return {}
        case HTTPStatus.NOT_FOUND:
            raise NotFoundError('the object does not exist; create it first')
        case HTTPStatus.PRECONDITION_FAILED:
            raise PlatformConflictError(
                'the object has another version; read it again and retry',
            )
        case (
            HTTPStatus.INTERNAL_SERVER_ERROR
            | HTTPStatus.BAD_GATEWAY
            | HTTPStatus.GATEWAY_TIMEOUT
        ):
            raise _no_response_error(method)
    raise PlatformUnavailableError(f'the platform returned {status}; {_REMEDY}')


def _object_path(kind: str, name: str = '') -> str:
    path = f'/objects/{quote(kind)}'
    return f'{path}/{quote(name)}' if name else path


def _decode_object(kind: str, response: Any) -> StoredObject:
    return StoredObject(
        kind, response['name'], response['version'], response['text']
    )


def _decode_objects(kind: str, response: Any) -> tuple[StoredObject, ...]:
    return tuple(_decode_object(kind, item) for item in response)
