"""Source of a watch: the store or the zone watcher."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.platform import StoreClient, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan

_MILLISECONDS_PER_SECOND = 1000
# After a failure of the zone watcher, the store is polled directly for this
# long, so that the next poll doesn't meet the same failure.
_BYPASS_MS = 5000
# A sentinel's shortest wait is its regular wait divided by this.
_MIN_WAIT_DIVISOR = 3


@final
@attrs.define(eq=False, repr=False)
class WatchSource:
    """Polls either the store or the zone watcher for changes of a kind.

    Args:
        clock: Source of time.
        client: Client of the store.
        kind: Kind of the objects.
        settings: Wait times and timeouts.
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
        """Set the zone watcher and return whether it has changed.

        Args:
            address: Its peer address; empty to poll the store.
        """
        known = self._zone_client.address if self._zone_client else ''
        if address == known:
            return False
        if self._zone_client:
            self._zone_client.close()
        self._zone_client = ZoneClient(address) if address else None
        return True

    def bypass_zone_watcher(self) -> None:
        """Poll the store directly for a while."""
        self._bypass_until_ms = self._clock.now_ms() + _BYPASS_MS

    async def poll(
        self,
        revision: int,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        """Long-poll for changes after `revision`.

        Args:
            revision: Newest revision of this VM.
            on_chunk: Called with each chunk of the response that arrives.

        Raises:
            AnswerTooLargeError: The changes exceed the size limit.
            HistoryGoneError: The store has dropped that history.
            PlatformUnavailableError: The store gave no usable response.
            ZoneWatchError: The zone watcher can't serve the changes.
        """
        zone = self._zone_client
        may_use_zone_watcher = self._clock.now_ms() >= self._bypass_until_ms
        self.uses_zone_watcher = False
        if zone is None or self.is_sentinel or not may_use_zone_watcher:
            return await self._poll_store(revision, on_chunk)
        self.uses_zone_watcher = True
        return await self._poll_zone_watcher(zone, revision, on_chunk)

    async def _poll_store(
        self,
        revision: int,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        wait_ms = self._settings.longest_wait_ms
        if self.is_sentinel:
            wait_ms = self._sentinel_wait_ms()
        page = await self._client.watch(
            self._kind,
            revision,
            wait_ms,
            self._timeout_s(wait_ms),
            on_chunk,
        )
        self._last_response_ms = self._clock.now_ms()
        return page

    def _sentinel_wait_ms(self) -> int:
        """Return a wait that avoids long gaps between store responses.

        The time since the last response is subtracted from the regular wait.
        """
        longest_ms = self._settings.sentinel_wait_ms
        if self._last_response_ms is None:
            return longest_ms
        idle_ms = self._clock.now_ms() - self._last_response_ms
        return max(longest_ms - idle_ms, longest_ms // _MIN_WAIT_DIVISOR)

    async def _poll_zone_watcher(
        self,
        zone: ZoneClient,
        revision: int,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        wait_ms = self._settings.longest_wait_ms
        message = await zone.watch(
            self._kind,
            revision,
            wait_ms,
            self._timeout_s(wait_ms),
            on_chunk,
        )
        ages = message.outage_ages
        self.outage = ages.convert_ages(self._clock.now_ms()) if ages else None
        return message.page

    def _timeout_s(self, wait_ms: int) -> float:
        limit_ms = wait_ms + self._settings.call_timeout_ms
        return limit_ms / _MILLISECONDS_PER_SECOND
