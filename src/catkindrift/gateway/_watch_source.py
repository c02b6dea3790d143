"""Source of a watch: the store, the zone watcher or its deputy."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._store_poller import StorePoller
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.platform import StorePage
from catkindrift.steering import TimeSpan

_MILLISECONDS_PER_SECOND = 1000
# After a failure of the zone watcher or its deputy, it isn't polled for this
# long, so that the next poll doesn't meet the same failure.
_BYPASS_MS = 5000


@final
@attrs.define(eq=False, repr=False)
class WatchSource:
    """Polls the store or a VM of the zone for changes of a kind.

    The zone watcher is preferred, then its deputy, then the store.

    Args:
        clock: Source of time.
        kind: Kind of the objects.
        store: Polls the store.
    """

    _clock: Clock
    _kind: str
    store: StorePoller
    uses_zone_watcher: bool = attrs.field(init=False, default=False)
    outage: TimeSpan | None = attrs.field(init=False, default=None)
    page_age_ms: int | None = attrs.field(init=False, default=None)
    _zone_client: ZoneClient | None = attrs.field(init=False, default=None)
    _deputy_client: ZoneClient | None = attrs.field(init=False, default=None)
    _polled: ZoneClient | None = attrs.field(init=False, default=None)
    _bypass_until_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _began_ms: int = attrs.field(init=False, default=0)

    @property
    def is_sentinel(self) -> bool:
        """Whether this VM is the sentinel of the kind."""
        return self.store.is_sentinel

    @property
    def waited_ms(self) -> int:
        """Time since the last poll began."""
        return self._clock.now_ms() - self._began_ms

    @property
    def name(self) -> str:
        """The store, or the address of the VM that was polled last."""
        polled = self._polled
        return polled.address if polled else 'the store'

    def set_zone_watcher(self, address: str, deputy: str = '') -> bool:
        """Set the VMs to poll and return whether the next poll changes.

        Args:
            address: Peer address of the zone watcher; empty to poll the store.
            deputy: Peer address of its deputy; empty if there is none for
                this VM.
        """
        before = self._preferred()
        self._zone_client = _renew(self._zone_client, address)
        self._deputy_client = _renew(self._deputy_client, deputy)
        return self._preferred() is not before

    def bypass_zone_watcher(self) -> None:
        """Do not poll the VM that was polled last for a while."""
        self.uses_zone_watcher = False
        polled = self._polled or self._zone_client
        if polled:
            until_ms = self._clock.now_ms() + _BYPASS_MS
            self._bypass_until_ms = {
                **self._current_bypasses(),
                polled.address: until_ms,
            }

    def renew_connections(self) -> None:
        """Poll on a new connection next; the store responds at once."""
        self.store.close_idle()
        for client in (self._zone_client, self._deputy_client):
            if client:
                client.close()
        if self._preferred() is None:
            self.store.ask_at_once()

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
        zone = self._preferred()
        self._polled = zone
        self._began_ms = self._clock.now_ms()
        self.uses_zone_watcher = zone is not None
        if zone is None:
            return await self.store.poll(revision, on_chunk)
        return await self._poll_zone_watcher(zone, revision, on_chunk)

    def _preferred(self) -> ZoneClient | None:
        """Return the VM to poll, None for the store."""
        if self.store.waits_briefly:
            return None
        bypassed = self._current_bypasses()
        for client in (self._zone_client, self._deputy_client):
            if client and client.address not in bypassed:
                return client
        return None

    def _current_bypasses(self) -> dict[str, int]:
        now_ms = self._clock.now_ms()
        return {
            address: until_ms
            for address, until_ms in self._bypass_until_ms.items()
            if until_ms > now_ms
        }

    async def _poll_zone_watcher(
        self,
        zone: ZoneClient,
        revision: int,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        settings = self.store.settings
        wait_ms = settings.longest_wait_ms
        limit_ms = wait_ms + settings.call_timeout_ms
        message = await zone.watch(
            self._kind,
            revision,
            wait_ms,
            limit_ms / _MILLISECONDS_PER_SECOND,
            on_chunk,
            takes_over=zone is self._deputy_client,
        )
        ages = message.outage_ages
        self.outage = ages.convert_ages(self._clock.now_ms()) if ages else None
        self.page_age_ms = message.age_ms
        return message.page


def _renew(client: ZoneClient | None, address: str) -> ZoneClient | None:
    """Return a client of `address`, the same one if it hasn't changed."""
    if client and client.address == address:
        return client
    if client:
        client.close()
    return ZoneClient(address) if address else None
