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
from catkindrift.gateway._pending_poll import (
    PendingPoll,
    result_unless_cancelled,
)
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_poller import StorePoller
from catkindrift.gateway._store_silence import StoreSilence
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
        silence: Silence of connections to the store; shared by all watches.
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
    _silence: StoreSilence = attrs.field(
        default=attrs.Factory(
            lambda watch: StoreSilence(watch._clock), takes_self=True
        )
    )
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
                watch._clock,
                watch.kind,
                StorePoller(
                    watch._clock,
                    watch._client,
                    watch.kind,
                    watch._settings,
                    watch._silence,
                ),
            ),
            takes_self=True,
        ),
    )
    _backoff: FailureBackoff = attrs.field(init=False, factory=FailureBackoff)
    _coalescing: CoalescingDelay = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: CoalescingDelay(watch._clock), takes_self=True
        ),
    )
    poll: PendingPoll = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watch: PendingPoll(
                watch._clock,
                watch.kind,
                watch._source,
                watch._coalescing,
                watch.listed,
            ),
            takes_self=True,
        ),
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
        self.poll.cancel()
        if self._list_task:
            self._list_task.cancel()

    def compare_with_peer(
        self, revision: int, age_ms: int | None = None
    ) -> None:
        """Compare what this VM knows with what a peer knows.

        Args:
            revision: Newest revision of the peer.
            age_ms: Time since the store held nothing newer than that, as far
                as the peer knows; None if it doesn't tell.
        """
        if age_ms is not None and revision <= self._revision:
            self.listed.confirm(age_ms)
        self.check(revision)

    def check(self, peer_revision: int = 0) -> None:
        """Repeat the long poll if it is stalled, or if it has to serve all.

        Called several times a second.

        Args:
            peer_revision: Newest revision of a peer, if one has told it.
        """
        is_repeated = self.poll.repeat_if_stalled(self._revision, peer_revision)
        if is_repeated and self._relists_when_behind:
            self._is_listed = False
        elif not self._backoff.is_failing:
            self.poll.stand_in_if_due()

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
        source = self._source
        age_ms = source.page_age_ms if source.uses_zone_watcher else 0
        self.listed.apply(page.latest_changes, self._revision, age_ms)
        if page.objects:
            self._log_news(page)
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
        page = await result_unless_cancelled(self._list_task)
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
        page = await self.poll.run(self._revision)
        if page is None:
            return None
        if not self._source.uses_zone_watcher:
            self._record_response()
            return page
        self._client.era.adopt(page.revision)
        if self._source.outage is not None:
            self._on_outage_end(self._source.outage)
        return page

    def _log_news(self, page: StorePage) -> None:
        _LOG.info(
            'watch of %s: %d changes up to revision %d from %s, %d ms after '
            'the poll began',
            self.kind,
            len(page.objects),
            page.revision,
            self._source.name,
            self._source.waited_ms,
        )

    def _record_response(self) -> None:
        if self._source.uses_zone_watcher:
            return
        self.poll.record_response()
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
