"""HTTP client of the platform's store."""

from collections import Counter
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, final
from urllib.parse import quote

import attrs
import msgspec

from catkindrift.errors import (
    HistoryGoneError,
    PlatformAmbiguousError,
    PlatformSilentError,
    PlatformUnavailableError,
)
from catkindrift.http1 import HttpClient
from catkindrift.platform._store_era import StoreEra
from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._store_page import StorePage
from catkindrift.platform._store_reply import StoreReply
from catkindrift.platform._unreadable_entries import UnreadableEntries

_READ = 'GET'
_REMEDY = 'check platform.url and the state of the platform'


def _ignore() -> None:
    """Ignore the arrival of a chunk."""


@final
@attrs.define(eq=False, repr=False)
class StoreClient:
    """Lists, watches and writes objects in the platform's store.

    Args:
        host: IP address of the store.
        port: Its TCP port.
        call_counts: Calls so far by HTTP method.
        request_counts: Calls so far by what was asked, such as
            ``watch config``; a write may take two calls.
        era: Era of the store.
        unreadable: Entries that could not be decoded.
    """

    _host: str
    _port: int
    call_counts: Counter[str] = attrs.field(init=False, factory=Counter)
    request_counts: Counter[str] = attrs.field(init=False, factory=Counter)
    era: StoreEra = attrs.field(init=False, factory=StoreEra)
    unreadable: UnreadableEntries = attrs.field(
        init=False, factory=UnreadableEntries
    )
    _client: HttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the HTTP client."""
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
            after: Name of the last object of the previous page, or '' for the
                first page.
            timeout_s: Longest wait for the first chunk of the response.

        Raises:
            PlatformUnavailableError: There was no usable response.
        """
        self.request_counts[f'list {kind}'] += 1
        query = f'?after={quote(after)}' if after else ''
        _, decoded = await self._call(
            _READ, f'/objects/{kind}{query}', None, timeout_s
        )
        self.unreadable.record(kind, decoded.unreadable)
        reply = decoded.document
        objects = [
            StoreObject.from_document(each) for each in _listed_items(reply)
        ]
        return StorePage(
            self._qualify(objects),
            self.era.qualify(_revision(reply)),
            bool(reply.get('has_more')),
        )

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        timeout_s: float,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        """Return changes after `revision`, waiting up to `wait_ms` for one.

        Args:
            kind: Kind of the objects.
            revision: Latest known revision.
            wait_ms: How long the store waits for a change (long poll).
            timeout_s: Longest wait for the first chunk of the response.
            on_chunk: Called with each chunk of the response that arrives.

        Raises:
            AnswerTooLargeError: The response has too many changes.
            HistoryGoneError: The store has dropped changes since `revision`.
            PlatformSilentError: There was no response in time.
            PlatformUnavailableError: There was no usable response.
        """
        self.request_counts[f'watch {kind}'] += 1
        since = self.era.plain(revision)
        path = f'/objects/{kind}?watch={since}&wait_ms={wait_ms}'
        status, decoded = await self._call(
            _READ, path, None, timeout_s, on_chunk
        )
        self.era.plain(revision)
        if status == HTTPStatus.GONE:
            raise HistoryGoneError(
                f'the store dropped changes of {kind}; list the kind again',
            )
        self.unreadable.record(kind, decoded.unreadable)
        reply = decoded.document
        changes = [_decode_event(each) for each in reply.get('events', ())]
        return StorePage(
            self._qualify(changes), self.era.qualify(_revision(reply))
        )

    def close_idle(self) -> None:
        """Close idle connections, so that the next calls open new ones."""
        self._client.close()

    async def put(
        self,
        kind: str,
        name: str,
        spec: Any,
        timeout_s: float,
    ) -> None:
        """Create an object, or replace it unconditionally.

        Args:
            kind: Kind of the object.
            name: Name, unique within its kind.
            spec: Content, encoded as JSON.
            timeout_s: Longest wait for the response to each call.

        Raises:
            PlatformAmbiguousError: The response was lost; the write may have
                taken effect.
            PlatformUnavailableError: The store refused the write; nothing
                was written.
        """
        document = {'metadata': {'name': name}, 'spec': spec}
        path = f'/objects/{kind}'
        self.request_counts[f'write {kind}'] += 1
        status, _ = await self._call('POST', path, document, timeout_s)
        if status == HTTPStatus.CONFLICT:
            self.request_counts[f'write {kind}'] += 1
            await self._call(
                'PUT', f'{path}/{quote(name)}', document, timeout_s
            )

    async def _call(
        self,
        method: str,
        path: str,
        document: Any,
        timeout_s: float,
        on_chunk: Callable[[], None] = _ignore,
    ) -> tuple[int, StoreReply]:
        self.call_counts[method] += 1
        body = b'' if document is None else msgspec.json.encode(document)
        try:
            head, content = await self._client.request(
                method, path, body, timeout_s, on_chunk
            )
        except TimeoutError as silent:
            raise _silence_error(method) from silent
        except OSError as broken:
            raise _no_response_error(method) from broken
        self.era.record(head)
        return _decode_response(method, head.status, content)

    def _qualify(
        self, found: Iterable[StoreObject | None]
    ) -> tuple[StoreObject, ...]:
        """Return the objects that are not malformed, with the era."""
        return tuple(
            attrs.evolve(each, revision=self.era.qualify(each.revision))
            for each in found
            if each
        )


def _silence_error(method: str) -> Exception:
    if method == _READ:
        return PlatformSilentError(f'no response to a read in time; {_REMEDY}')
    return _no_response_error(method)


def _no_response_error(method: str) -> Exception:
    if method == _READ:
        return PlatformUnavailableError(f'no response to a read; {_REMEDY}')
    return PlatformAmbiguousError(
        'no response to a write; repeat the same write',
    )


def _decode_response(
    method: str,
    status: int,
    content: bytes,
) -> tuple[int, StoreReply]:
    if status in {HTTPStatus.GONE, HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND}:
        return status, StoreReply({})
    if status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise PlatformUnavailableError(
            f'the store responded {status}; {_REMEDY}'
        )
    try:
        return status, StoreReply.from_json(content)
    except (msgspec.DecodeError, RecursionError, ValueError) as malformed:
        raise _no_response_error(method) from malformed


def _listed_items(reply: dict[str, Any]) -> list[Any]:
    listed = reply.get('items')
    return listed if isinstance(listed, list) else []


def _revision(reply: dict[str, Any]) -> int:
    revision = reply.get('current_rev')
    if not isinstance(revision, int):
        raise PlatformUnavailableError(
            f'the store sent no current revision; {_REMEDY}',
        )
    return revision


def _decode_event(event: Any) -> StoreObject | None:
    if not isinstance(event, dict):
        return None
    return StoreObject.from_document(
        event.get('object'),
        is_deleted=bool(event.get('deleted')),
    )
