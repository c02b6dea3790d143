"""Asks another entry VM of the zone for changes."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.errors import AnswerTooLargeError, ZoneWatchError
from catkindrift.gateway._zone_message import ZoneMessage
from catkindrift.http1 import MessageClient
from catkindrift.settings import Endpoint


@final
@attrs.define(eq=False)
class ZoneClient:
    """Watches a kind of objects through the VM that watches for the zone.

    Args:
        address: Its address for other entry VMs, ``IP:port``.
    """

    address: str
    _client: MessageClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the client."""
        endpoint = Endpoint.parse(self.address)
        self._client = MessageClient(endpoint.host, endpoint.port)

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        timeout_s: float,
        on_part: Callable[[], None],
    ) -> ZoneMessage:
        """Return changes after `revision`, waiting up to `wait_ms` for one.

        Raises:
            ZoneWatchError: It cannot tell; ask the store.
        """
        path = f'/changes/{kind}/{revision}/{wait_ms}'
        try:
            status, content = await self._client.call(
                'GET', path, b'', timeout_s, on_part
            )
        except (OSError, AnswerTooLargeError) as broken:
            raise ZoneWatchError(
                f'{self.address} gives no whole answer; ask the store',
            ) from broken
        if status != HTTPStatus.OK:
            raise ZoneWatchError(
                f'{self.address} answered {status}; ask the store',
            )
        try:
            return ZoneMessage.from_json(content)
        except ValueError as malformed:
            raise ZoneWatchError(
                f'{self.address} sent no changes; ask the store',
            ) from malformed

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
