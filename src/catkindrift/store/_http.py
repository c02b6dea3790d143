"""Adapter from the platform's HTTP form to `Platform`."""

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

_MILLISECONDS_PER_SECOND = 1000
_GET = 'GET'
_THREADS = 8
_REMEDY = 'check platform.url and the state of the platform'


@final
@attrs.define
class HttpPlatform:
    """Calls the object API over HTTP; threads only move bytes.

    Args:
        url: Base URL.
        timeout_ms: Time limit of a call.
    """

    _url: str
    _timeout_ms: int
    _http: urllib3.PoolManager = attrs.field(init=False)
    _threads: ThreadPoolExecutor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the connection pool and its threads."""
        self._http = urllib3.PoolManager(maxsize=_THREADS, retries=False)
        self._threads = ThreadPoolExecutor(_THREADS, 'platform')

    def close(self) -> None:
        """Close connections; waiting calls end by their time limit."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._http.clear()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or nothing when there is no object."""
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
        """Write a new object."""
        answer = await self._call(
            'PUT',
            _object_path(kind, name),
            {'If-None-Match': '*'},
            text,
        )
        return StoredObject(kind, name, answer['version'], text)

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known`."""
        answer = await self._call(
            'PUT',
            _object_path(known.kind, known.name),
            {'If-Match': f'"{known.version}"'},
            text,
        )
        return attrs.evolve(known, version=answer['version'], text=text)

    async def delete(self, known: StoredObject) -> None:
        """Remove `known`."""
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
        """Return objects of a kind that changed after a version."""
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
        limit_ms = self._timeout_ms + wait_ms
        try:
            answer = self._http.request(
                method,
                f'{self._url}{path}',
                body=body,
                headers=headers,
                timeout=limit_ms / _MILLISECONDS_PER_SECOND,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as refused:
            raise PlatformUnavailableError(
                f'the platform cannot be reached; {_REMEDY}',
            ) from refused
        except urllib3.exceptions.HTTPError as broken:
            raise _no_response_error(method) from broken
        return _decode_response(method, answer.status, answer.data)


def _no_response_error(method: str) -> Exception:
    if method == _GET:
        return PlatformUnavailableError(f'no answer to a read; {_REMEDY}')
    return PlatformAmbiguousError(
        'no answer to a write; read the object back before going on',
    )


def _decode_response(method: str, status: int, body: bytes) -> Any:
    match status:
        case HTTPStatus.OK | HTTPStatus.CREATED:
            return json.loads(body)
        case HTTPStatus.NO_CONTENT:
            return {}
        case HTTPStatus.NOT_FOUND:
            raise NotFoundError('no such object; create it first')
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
    raise PlatformUnavailableError(f'the platform answered {status}; {_REMEDY}')


def _object_path(kind: str, name: str = '') -> str:
    path = f'/objects/{quote(kind)}'
    return f'{path}/{quote(name)}' if name else path


def _decode_object(kind: str, answer: Any) -> StoredObject:
    return StoredObject(kind, answer['name'], answer['version'], answer['text'])


def _decode_objects(kind: str, answer: Any) -> tuple[StoredObject, ...]:
    return tuple(_decode_object(kind, item) for item in answer)
