"""Watch of one kind of objects in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import (
    AnswerTooLargeError,
    HistoryGoneError,
    PlatformUnavailableError,
    ZoneHistoryGoneError,
    ZoneWatchError,
)
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._coalescing_delay import CoalescingDelay
from catkindrift.gateway._failure_backoff import FailureBackoff
from catkindrift.gateway._list_source import ListSource
from catkindrift.gateway._object_list import ObjectList
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._watch_source import WatchSource
from catkindrift.jitter import jittered
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND = 1000
# Interval at which an inactive watch looks whether it is active again.
_INACTIVE_DELAY_S = 0.5
# Delay before a relist after the store has dropped the requested history.
_RELIST_DELAY_S = 0.15

# Delay of the first poll after a list of the zone. VMs that start together say
# within 0.1 s that they are ready.
_FIRST_POLL_DELAY_S = 0.4


@final
@attrs.define(eq=False, repr=False)
class StoreWatch:
    """Lists objects, then long-polls for changes; relists when needed.

    Args:
        clock: Source of time.
        client: Client of the store.
        kind: Kind of the objects.
        settings: Wait times and timeouts.
        health: Reachability of the store; shared by all watches.
        on_list: Called with each complete list.
        on_change: Called with each change.
        on_outage_end: Called with an outage that has ended, before the changes
            that follow it.
        relists_when_behind: Whether to relist instead of reading all missed
            changes. This is cheaper for a few large objects that change often.
            It also relists while objects change faster than they are polled.
        is_active: Whether to poll at all, after a first list.
        lists: Where lists come from.
    """

    _clock: Clock
    _client: StoreClient
    kind: str
    _settings: GatewayPlatformSettings
    health: StoreHealth
    _on_list: Callable[[tuple[StoreObject, ...]], None]
    _on_change: Callable[[StoreObject], None]
    _on_outage_end: Callable[[TimeSpan], None]
    _relists_when_behind: bool = False
    _lists: ListSource = attrs.field(factory=ListSource)
    listed: ObjectList = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: ObjectList(watch._clock), takes_self=True
        ),
    )
    newest_revision: int = attrs.field(init=False, default=0)
    is_active: bool = attrs.field(init=False, default=True)
    change_log: ChangeLog = attrs.field(init=False, factory=ChangeLog)
    _revision: int = attrs.field(init=False, default=0)
    _is_listed: bool = attrs.field(init=False, default=False)
    _is_outpaced: bool = attrs.field(init=False, default=False)
    _source: WatchSource = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: WatchSource(
                watch._clock, watch._client, watch.kind, watch._settings
            ),
            takes_self=True,
        ),
    )
    _stall_detector: StalledWatchDetector = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: StalledWatchDetector(watch._clock), takes_self=True
        ),
    )
    _backoff: FailureBackoff = attrs.field(init=False, factory=FailureBackoff)
    _coalescing: CoalescingDelay = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: CoalescingDelay(watch._clock), takes_self=True
        ),
    )
    _poll_task: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )
    _list_task: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    @property
    def is_direct(self) -> bool:
        """Whether this VM polls the store itself and its calls succeed."""
        return (
            not self._source.uses_zone_watcher and not self._backoff.is_failing
        )

    async def run(self) -> None:
        """Watch the kind until cancelled."""
        while True:
            try:
                await self._step()
            except (
                HistoryGoneError,
                AnswerTooLargeError,
                ZoneHistoryGoneError,
            ):
                self._record_response()
                # A list holds each object once, however often it changed.
                self._is_listed = False
                await asyncio.sleep(jittered(self._rng, _RELIST_DELAY_S))
            except ZoneWatchError as unable:
                _LOG.info(
                    'watch of %s falls back to the store: %s',
                    self.kind,
                    unable,
                )
                self._source.bypass_zone_watcher()
            except PlatformUnavailableError as unavailable:
                self.health.record_failure(unavailable)
                # VMs that wait for changes here go elsewhere at once.
                self.change_log.interrupt()
                await self._backoff.record_failure_and_wait()

    def retry_now(self) -> None:
        """End the backoff and restart the call in flight, after failures."""
        if not self._backoff.is_failing:
            return
        self._backoff.end_early()
        for call in (self._poll_task, self._list_task):
            if call:
                call.cancel()

    def compare_with_peer(self, revision: int) -> None:
        """Restart a stalled long poll that lags behind a peer's revision."""
        if self._poll_task is None or self._poll_task.done():
            self._stall_detector.clear_lag()
            return
        uses_zone_watcher = self._source.uses_zone_watcher
        if self._stall_detector.is_stalled(
            revision, self._revision, uses_zone_watcher=uses_zone_watcher
        ):
            _LOG.info(
                'watch of %s stalled; restarting it: revision %d, peers have '
                '%d, from %s, pending for %d ms',
                self.kind,
                self._revision,
                revision,
                self._source.name,
                self._source.waited_ms,
            )
            if uses_zone_watcher:
                self._source.bypass_zone_watcher()
            elif self._relists_when_behind:
                self._is_listed = False
            self._poll_task.cancel()

    def set_sentinel(self, *, is_sentinel: bool) -> None:
        """Start or stop polling the store at short intervals."""
        if is_sentinel and not self._source.is_sentinel and self._poll_task:
            self._poll_task.cancel()
        self._source.is_sentinel = is_sentinel

    def set_zone_watcher(
        self, address: str, *, is_shared: bool, deputy: str = ''
    ) -> None:
        """Choose whether to poll the zone watcher or the store.

        The zone watcher is the VM that polls the store for its whole zone.

        Args:
            address: Peer address of the zone watcher; empty to poll the store.
            is_shared: Whether the zone has a zone watcher.
            deputy: Peer address of the VM to poll if the zone watcher can't
                serve; empty to poll the store then.
        """
        self._coalescing.is_shared = is_shared
        is_changed = self._source.set_zone_watcher(address, deputy)
        # A long poll of the store would bring the next change to this VM too.
        if is_changed and self._poll_task:
            self._poll_task.cancel()

    def take_over(self) -> None:
        """Poll the store in place of the zone watcher for a while."""
        if not self._source.uses_zone_watcher or not self._poll_task:
            return
        _LOG.info('watch of %s takes over from the zone watcher', self.kind)
        self._source.bypass_zone_watcher()
        self._poll_task.cancel()

    async def _step(self) -> None:
        if not self._is_listed:
            await self._list()
            return
        if not self.is_active:
            await asyncio.sleep(_INACTIVE_DELAY_S)
            return
        page = await self._long_poll()
        if page is None:
            return
        self._revision = max(self._revision, page.revision)
        self.listed.apply(page.latest_changes, self._revision)
        if page.objects:
            _LOG.info(
                'watch of %s: %d changes up to revision %d from %s, %d ms '
                'after the poll began',
                self.kind,
                len(page.objects),
                page.revision,
                self._source.name,
                self._source.waited_ms,
            )
        for each in page.latest_changes:
            self._on_change(each)
        self.newest_revision = max(self.newest_revision, _newest_change(page))
        if self._relists_when_behind and page.has_superseded_changes:
            self._is_outpaced = True
            self._is_listed = False
        await self._publish(page)

    async def _publish(self, page: StorePage) -> None:
        """Log changes for VMs of the zone, then let more of them coalesce."""
        if self._source.uses_zone_watcher:
            # Only the zone watcher logs changes; it has already applied the
            # coalescing delay.
            self.change_log.reset(self._revision)
            return
        self.change_log.add(attrs.evolve(page, objects=page.latest_changes))
        if page.objects:
            await asyncio.sleep(self._coalescing.delay_s())

    async def _list(self) -> None:
        limit_ms = self._settings.call_timeout_ms
        if await self._list_from_zone():
            return
        known = self.newest_revision
        self._coalescing.record_request(is_long_poll=False)
        timeout_s = limit_ms / _MILLISECONDS_PER_SECOND
        self._list_task = asyncio.get_running_loop().create_task(
            self._lists.list_store(self._client, self.kind, timeout_s),
        )
        page = await _result_unless_cancelled(self._list_task)
        if page is None:
            return
        self._record_response()
        self._revision = max(self._revision, page.revision)
        self.change_log.reset(self._revision)
        self.listed.replace(page.objects, self._revision)
        self._on_list(page.objects)
        self.newest_revision = max(self.newest_revision, _newest_change(page))
        # Keep listing while each list holds newer objects than the last one.
        self._is_outpaced = self._is_outpaced and self.newest_revision > known
        self._is_listed = not self._is_outpaced
        if self._is_outpaced:
            await asyncio.sleep(self._coalescing.delay_s())

    async def _list_from_zone(self) -> bool:
        """List from a VM of the zone and return whether that has succeeded."""
        follows = not self._revision or self._source.uses_zone_watcher
        if not follows or self._is_outpaced:
            return False
        # A VM that lacks the changes since this revision has a later list.
        found = await self._lists.list_zone(self.kind, self._revision + 1)
        if found is None:
            self._source.bypass_zone_watcher()
            return False
        self._client.era.adopt(found.page.revision)
        self._revision = found.page.revision
        self.change_log.reset(self._revision)
        self.listed.replace(found.page.objects, self._revision, found.age_ms)
        self._on_list(found.page.objects)
        self.newest_revision = max(
            self.newest_revision, _newest_change(found.page)
        )
        self._is_listed = True
        # Roles are known once all VMs that started have said to be ready.
        await asyncio.sleep(jittered(self._rng, _FIRST_POLL_DELAY_S))
        self._lists.assign_roles()
        return True

    async def _long_poll(self) -> StorePage | None:
        """Return the next changes, or None if the long poll was cancelled."""
        self._coalescing.record_request(is_long_poll=True)
        loop = asyncio.get_running_loop()
        self._poll_task = loop.create_task(
            self._source.poll(self._revision, self._record_chunk),
        )
        page = await _result_unless_cancelled(self._poll_task)
        if page is None:
            return None
        if not self._source.uses_zone_watcher:
            self._record_response()
            return page
        self._client.era.adopt(page.revision)
        if self._source.outage is not None:
            self._on_outage_end(self._source.outage)
        return page

    def _record_chunk(self) -> None:
        """Record that a response is arriving, so the watch isn't stalled."""
        self._stall_detector.record_chunk()
        self._coalescing.record_chunk()

    def _record_response(self) -> None:
        if self._source.uses_zone_watcher:
            return
        self._stall_detector.record_response()
        self._backoff.reset()
        if self.health.record_response() and self.health.outage:
            self._on_outage_end(self.health.outage)


def _newest_change(page: StorePage) -> int:
    """Return the revision of the newest change in a page, 0 without any."""
    changed = [
        page.revision if each.is_deleted else each.revision
        for each in page.objects
    ]
    return max(changed, default=0)


async def _result_unless_cancelled(
    call: asyncio.Task[StorePage],
) -> StorePage | None:
    """Wait for a call and return its result, or None if it was cancelled."""
    await asyncio.wait({call})
    return None if call.cancelled() else call.result()
