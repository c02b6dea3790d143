"""Client for changes served by the zone watcher."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.errors import (
    AnswerTooLargeError,
    ZoneHistoryGoneError,
    ZoneWatchError,
)
from catkindrift.gateway._zone_message import ZoneList, ZoneMessage
from catkindrift.gateway._zone_page import ACCEPTS_ZLIB, TAKES_OVER, unpack
from catkindrift.http1 import HttpClient
from catkindrift.settings import Endpoint


@final
@attrs.define(eq=False, repr=False)
class ZoneClient:
    """Watches kinds of objects through the zone watcher.

    Args:
        address: Peer address of the zone watcher, ``IP:port``.
    """

    address: str
    _client: HttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the HTTP client."""
        endpoint = Endpoint.parse(self.address)
        self._client = HttpClient(endpoint.host, endpoint.port)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        timeout_s: float,
        on_chunk: Callable[[], None],
        *,
        takes_over: bool = False,
    ) -> ZoneMessage:
        """Return changes after `revision`, waiting up to `wait_ms` for one.

        Args:
            kind: Kind of the objects.
            revision: Latest known revision.
            wait_ms: How long the other VM waits for a change.
            timeout_s: Longest wait for the first chunk of the response.
            on_chunk: Called with each chunk of the response that arrives.
            takes_over: Whether the other VM shall poll the store, because the
                zone watcher can't serve.

        Raises:
            ZoneWatchError: The zone watcher can't serve the changes.
        """
        path = f'/changes/{kind}/{revision}/{wait_ms}?{ACCEPTS_ZLIB}'
        if takes_over:
            path = f'{path}&{TAKES_OVER}'
        content = await self._request(path, timeout_s, on_chunk)
        try:
            return ZoneMessage.from_json(content)
        except ValueError as malformed:
            raise self._malformed_error() from malformed

    async def list(self, kind: str, wait_ms: int, timeout_s: float) -> ZoneList:
        """Return all objects of a kind, as the other VM knows them.

        Args:
            kind: Kind of the objects.
            wait_ms: How long the other VM waits for its own first list.
            timeout_s: Longest wait for the first chunk of the response.

        Raises:
            ZoneWatchError: The other VM has no list.
        """
        path = f'/list/{kind}/{wait_ms}?{ACCEPTS_ZLIB}'
        content = await self._request(path, timeout_s, _ignore)
        try:
            return ZoneList.from_json(content)
        except ValueError as malformed:
            raise self._malformed_error() from malformed

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _request(
        self, path: str, timeout_s: float, on_chunk: Callable[[], None]
    ) -> bytes:
        try:
            head, content = await self._client.request(
                'GET', path, b'', timeout_s, on_chunk
            )
        except (OSError, AnswerTooLargeError) as broken:
            raise ZoneWatchError(
                f'{self.address} sent no complete response; ask the store',
            ) from broken
        if head.status != HTTPStatus.OK:
            is_gone = head.status == HTTPStatus.GONE
            error = ZoneHistoryGoneError if is_gone else ZoneWatchError
            raise error(
                f'{self.address} returned status {head.status}; ask the store',
            )
        try:
            return unpack(head.headers, content)
        except ValueError as malformed:
            raise self._malformed_error() from malformed

    def _malformed_error(self) -> ZoneWatchError:
        return ZoneWatchError(
            f'{self.address} sent a malformed message; ask the store',
        )


def _ignore() -> None:
    """Ignore the arrival of a chunk."""
