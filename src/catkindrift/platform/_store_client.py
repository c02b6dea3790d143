"""Client of the platform's store."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, final
from urllib.parse import quote

import attrs
import msgspec

from catkindrift.errors import (
    HistoryGoneError,
    PlatformAmbiguousError,
    PlatformUnavailableError,
)
from catkindrift.http1 import HttpClient
from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._store_page import StorePage

_READ = 'GET'
_REMEDY = 'check platform.url and the state of the platform'


def _ignore() -> None:
    """Take no note of parts."""


@final
@attrs.define(eq=False)
class StoreClient:
    """Calls the store.

    Args:
        host: IP number of the store.
        port: Its TCP port.
        calls_made: Calls so far by their kind.
    """

    _host: str
    _port: int
    calls_made: dict[str, int] = attrs.field(init=False, factory=dict)
    _client: HttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the client."""
        self._client = HttpClient(self._host, self._port)

    async def list_page(
        self,
        kind: str,
        after: str,
        timeout_s: float,
    ) -> StorePage:
        """Return a page of the objects of a kind.

        Args:
            kind: Kind of the objects.
            after: Name of the last object of the page before, or nothing.
            timeout_s: Longest wait for the first part of the answer.

        Raises:
            PlatformUnavailableError: There was no usable answer.
        """
        query = f'?after={quote(after)}' if after else ''
        _, answer = await self._call(
            _READ, f'/objects/{kind}{query}', None, timeout_s
        )
        found = [StoreObject.from_document(each) for each in _listed(answer)]
        return StorePage(
            tuple(each for each in found if each),
            _revision(answer),
            bool(answer.get('has_more')),
        )

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        timeout_s: float,
        on_part: Callable[[], None],
    ) -> StorePage:
        """Return changes after `revision`, waiting up to `wait_ms` for one.

        Args:
            kind: Kind of the objects.
            revision: Newest revision that is known.
            wait_ms: Longest wait of the store for a change.
            timeout_s: Longest wait for the first part of the answer.
            on_part: Called for each part of the answer that arrives.

        Raises:
            AnswerTooLargeError: There are too many changes.
            HistoryGoneError: The store has dropped that history.
            PlatformUnavailableError: There was no usable answer.
        """
        path = f'/objects/{kind}?watch={revision}&wait_ms={wait_ms}'
        status, answer = await self._call(_READ, path, None, timeout_s, on_part)
        if status == HTTPStatus.GONE:
            raise HistoryGoneError(f'history of {kind} is gone; list it again')
        changes = [_change(each) for each in answer.get('events', ())]
        return StorePage(
            tuple(each for each in changes if each),
            _revision(answer),
        )

    async def put(
        self,
        kind: str,
        name: str,
        spec: Any,
        timeout_s: float,
    ) -> None:
        """Create an object, or replace it whatever it holds.

        Raises:
            PlatformAmbiguousError: The write may have taken effect.
            PlatformUnavailableError: Nothing was written.
        """
        document = {'metadata': {'name': name}, 'spec': spec}
        path = f'/objects/{kind}'
        status, _ = await self._call('POST', path, document, timeout_s)
        if status == HTTPStatus.CONFLICT:
            await self._call(
                'PUT', f'{path}/{quote(name)}', document, timeout_s
            )

    async def _call(
        self,
        method: str,
        path: str,
        document: Any,
        timeout_s: float,
        on_part: Callable[[], None] = _ignore,
    ) -> tuple[int, dict[str, Any]]:
        self.calls_made[method] = self.calls_made.get(method, 0) + 1
        body = b'' if document is None else msgspec.json.encode(document)
        try:
            status, content = await self._client.request(
                method, path, body, timeout_s, on_part
            )
        except OSError as broken:
            # A time-out is an OSError too.
            raise _lost(method) from broken
        return _checked(method, status, content)


def _lost(method: str) -> Exception:
    if method == _READ:
        return PlatformUnavailableError(f'no answer to a read; {_REMEDY}')
    return PlatformAmbiguousError(
        'no answer to a write; write the same once more',
    )


def _checked(
    method: str,
    status: int,
    content: bytes,
) -> tuple[int, dict[str, Any]]:
    if status in {HTTPStatus.GONE, HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND}:
        return status, {}
    if status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise PlatformUnavailableError(f'the store said {status}; {_REMEDY}')
    try:
        answer = msgspec.json.decode(content)
    except msgspec.DecodeError as malformed:
        raise _lost(method) from malformed
    return status, answer if isinstance(answer, dict) else {}


def _listed(answer: dict[str, Any]) -> list[Any]:
    found = answer.get('items')
    return found if isinstance(found, list) else []


def _revision(answer: dict[str, Any]) -> int:
    found = answer.get('current_rev')
    if not isinstance(found, int):
        raise PlatformUnavailableError(
            f'the store named no revision; {_REMEDY}',
        )
    return found


def _change(event: Any) -> StoreObject | None:
    if not isinstance(event, dict):
        return None
    return StoreObject.from_document(
        event.get('object'),
        is_deleted=bool(event.get('deleted')),
    )
