"""Source of a list: another VM of the zone or the store."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.gateway._list_all import list_all
from catkindrift.gateway._zone_lists import ZoneLists
from catkindrift.gateway._zone_message import ZoneList
from catkindrift.platform import StoreClient, StorePage


def _ignore() -> None:
    """Ignore that a list of the zone was read."""


@final
@attrs.frozen
class ListSource:
    """Lists the objects of a kind.

    Args:
        zone: Lists of VMs of the zone; None to list from the store.
        assign_roles: Called after a list of the zone, before the first poll.
    """

    zone: ZoneLists | None = None
    assign_roles: Callable[[], None] = _ignore

    async def list_zone(self, kind: str, newest: int) -> ZoneList | None:
        """Return a list of the zone, None if there is none.

        Args:
            kind: Kind of the objects.
            newest: Revision that the list must have at least.
        """
        return await self.zone.fetch(kind, newest) if self.zone else None

    async def list_store(
        self, client: StoreClient, kind: str, timeout_s: float
    ) -> StorePage:
        """Return a list of the store.

        Args:
            client: Client of the store.
            kind: Kind of the objects.
            timeout_s: Longest wait for the first chunk of each page.

        Raises:
            PlatformUnavailableError: The store gave no usable response.
        """
        return await list_all(client, kind, timeout_s)
