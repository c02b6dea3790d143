"""Whom a watch asks: the store, or the VM that asks it for the zone."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.platform import StoreClient, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan

_MILLISECONDS_PER_SECOND = 1000
# The store is asked for this long after the VM that watches for the zone
# could not tell, so that its trouble is not met again at once.
_BYPASS_MS = 5000
# Shortest wait of a sentinel, as a part of its wait.
_MIN_WAIT_DIVISOR = 3


@final
@attrs.define(eq=False)
class WatchSource:
    """Asks one of two sources for changes of a kind.

    Args:
        clock: Source of time.
        client: The store.
        kind: Kind of the objects.
        settings: Waits and time limits.
    """

    _clock: Clock
    _client: StoreClient
    _kind: str
    _settings: GatewayPlatformSettings
    is_sentinel: bool = attrs.field(init=False, default=False)
    uses_zone_watcher: bool = attrs.field(init=False, default=False)
    outage: TimeSpan | None = attrs.field(init=False, default=None)
    _zone_client: ZoneClient | None = attrs.field(init=False, default=None)
    _bypass_until_ms: int = attrs.field(init=False, default=0)
    _last_response_ms: int | None = attrs.field(init=False, default=None)

    def set_zone_watcher(self, address: str) -> bool:
        """Ask another VM of the zone, and return whether that is news.

        Args:
            address: Where it listens; empty to ask the store.
        """
        known = self._zone_client.address if self._zone_client else ''
        if address == known:
            return False
        if self._zone_client:
            self._zone_client.close()
        self._zone_client = ZoneClient(address) if address else None
        return True

    def bypass_zone_watcher(self) -> None:
        """Ask the store for a while."""
        self._bypass_until_ms = self._clock.now_ms() + _BYPASS_MS

    async def poll(
        self,
        revision: int,
        on_part: Callable[[], None],
    ) -> StorePage:
        """Return changes after `revision`, when there are some.

        Raises:
            AnswerTooLargeError: There are too many changes.
            HistoryGoneError: The store has dropped that history.
            PlatformUnavailableError: The store has not answered.
            ZoneWatchError: The other VM cannot tell.
        """
        zone = self._zone_client
        may_ask_zone = self._clock.now_ms() >= self._bypass_until_ms
        self.uses_zone_watcher = False
        if zone is None or self.is_sentinel or not may_ask_zone:
            return await self._poll_store(revision, on_part)
        self.uses_zone_watcher = True
        return await self._poll_zone_watcher(zone, revision, on_part)

    async def _poll_store(
        self,
        revision: int,
        on_part: Callable[[], None],
    ) -> StorePage:
        wait_ms = self._settings.longest_wait_ms
        if self.is_sentinel:
            wait_ms = self._sentinel_wait_ms()
        page = await self._client.watch(
            self._kind,
            revision,
            wait_ms,
            self._timeout_s(wait_ms),
            on_part,
        )
        self._last_response_ms = self._clock.now_ms()
        return page

    def _sentinel_wait_ms(self) -> int:
        """Return a wait after which answers have come without a long gap."""
        longest_ms = self._settings.sentinel_wait_ms
        if self._last_response_ms is None:
            return longest_ms
        rested_ms = self._clock.now_ms() - self._last_response_ms
        return max(longest_ms - rested_ms, longest_ms // _MIN_WAIT_DIVISOR)

    async def _poll_zone_watcher(
        self,
        zone: ZoneClient,
        revision: int,
        on_part: Callable[[], None],
    ) -> StorePage:
        wait_ms = self._settings.longest_wait_ms
        message = await zone.watch(
            self._kind,
            revision,
            wait_ms,
            self._timeout_s(wait_ms),
            on_part,
        )
        ages = message.outage_ages
        self.outage = ages.convert_ages(self._clock.now_ms()) if ages else None
        return message.page

    def _timeout_s(self, wait_ms: int) -> float:
        limit_ms = wait_ms + self._settings.call_timeout_ms
        return limit_ms / _MILLISECONDS_PER_SECOND
