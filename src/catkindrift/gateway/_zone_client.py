"""Client for changes served by the zone watcher."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.errors import AnswerTooLargeError, ZoneWatchError
from catkindrift.gateway._zone_message import ZoneMessage
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
    ) -> ZoneMessage:
        """Return changes after `revision`, waiting up to `wait_ms` for one.

        Raises:
            ZoneWatchError: The zone watcher can't serve the changes.
        """
        path = f'/changes/{kind}/{revision}/{wait_ms}'
        try:
            head, content = await self._client.request(
                'GET', path, b'', timeout_s, on_chunk
            )
        except (OSError, AnswerTooLargeError) as broken:
            raise ZoneWatchError(
                f'{self.address} sent no complete response; ask the store',
            ) from broken
        if head.status != HTTPStatus.OK:
            raise ZoneWatchError(
                f'{self.address} returned status {head.status}; ask the store',
            )
        try:
            return ZoneMessage.from_json(content)
        except ValueError as malformed:
            raise ZoneWatchError(
                f'{self.address} sent a malformed message; ask the store',
            ) from malformed

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
