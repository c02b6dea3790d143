"""Follows one kind of objects in the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.errors import HistoryGoneError, PlatformUnavailableError
from catkindrift.limits import jittered
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings

_MILLISECONDS_PER_SECOND = 1000
# Pauses between calls that fail; doubled with each failure in a row.
_FIRST_PAUSE_S = 0.15
_LONGEST_PAUSE_S = 1.2
# A pause after news, so that changes in quick succession share a call. It
# stays well below the 2.5 s in which a change has to be in force.
_NEWS_PAUSE_S = 1.2
_NEWS_SPREAD = 0.2
# A process that has just started hears of many changes, and little of what it
# decides is bound by time yet.
_STARTING_MS = 3000
_STARTING_PAUSE_S = 1.8
# Calls fail for this long before the store counts as having been away.
_AWAY_MS = 1200
# Peers are ahead for this long, and no part of an answer has come, before a
# waiting watch counts as silent. Doubled each time: a busy link may need longer
# for its first part than a dead connection deserves.
_BEHIND_MS = 250
_LONGEST_BEHIND_MS = 2000
# A change may be in force this much later for each second that answers take to
# arrive: half of it for the answer that runs, half for the next.
_ARRIVALS_IN_PAUSE = 2


@final
@attrs.define(eq=False)
class StoreWatch:
    """Lists objects once, then waits for changes; lists again when needed.

    Args:
        clock: Source of time.
        client: The store.
        kind: Kind of the objects.
        settings: Waits and time limits.
        on_list: Takes the whole list.
        on_change: Takes one change.
        on_return: Called when the store answers after having been away,
            with the time of the last call that failed.
    """

    _clock: Clock
    _client: StoreClient
    kind: str
    _settings: GatewayPlatformSettings
    _on_list: Callable[[tuple[StoreObject, ...]], None]
    _on_change: Callable[[StoreObject], None]
    _on_return: Callable[[int], None]
    newest: int = attrs.field(init=False, default=0)
    _started_ms: int = attrs.field(init=False)
    _revision: int = attrs.field(init=False, default=0)
    _peer_revision: int = attrs.field(init=False, default=0)
    _is_sentinel: bool = attrs.field(init=False, default=False)
    _failures: int = attrs.field(init=False, default=0)
    _first_failed_ms: int = attrs.field(init=False, default=0)
    _last_failed_ms: int = attrs.field(init=False, default=0)
    _behind_since_ms: int | None = attrs.field(init=False, default=None)
    _behind_limit_ms: int = attrs.field(init=False, default=_BEHIND_MS)
    _first_part_ms: int | None = attrs.field(init=False, default=None)
    _waiting: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Note when the process started."""
        self._started_ms = self._clock.now_ms()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        is_listed = False
        while True:
            try:
                is_listed = await self._step(is_listed=is_listed)
            except HistoryGoneError:
                is_listed = False
                await asyncio.sleep(jittered(self._rng, _FIRST_PAUSE_S))
            except PlatformUnavailableError as unavailable:
                await self._pause_after(unavailable)

    def peer_is_at(self, revision: int) -> None:
        """Cut a waiting watch short if it has missed what a peer knows."""
        now_ms = self._clock.now_ms()
        self._peer_revision = max(self._peer_revision, revision)
        is_waiting = self._waiting is not None and not self._waiting.done()
        if not is_waiting or self._peer_revision <= self._revision:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        elif now_ms - self._behind_since_ms > self._behind_limit_ms:
            self._behind_since_ms = now_ms
            doubled_ms = self._behind_limit_ms * 2
            self._behind_limit_ms = min(doubled_ms, _LONGEST_BEHIND_MS)
            logging.info('watch of %s was silent; asking anew', self.kind)
            self._cut_short()

    def serve_as_sentinel(self, *, is_sentinel: bool) -> None:
        """Ask at short intervals, or no longer."""
        if is_sentinel and not self._is_sentinel:
            self._cut_short()
        self._is_sentinel = is_sentinel

    def _note_part(self) -> None:
        """Note that an answer is arriving, so the watch is not silent."""
        now_ms = self._clock.now_ms()
        self._behind_since_ms = now_ms
        if self._first_part_ms is None:
            self._first_part_ms = now_ms

    def _cut_short(self) -> None:
        if self._waiting:
            self._waiting.cancel()

    async def _step(self, *, is_listed: bool) -> bool:
        if not is_listed:
            await self._list()
            return True
        page = await self._wait()
        if page is None:
            return True
        self._answered()
        self._revision = max(self._revision, page.revision)
        for each in page.objects:
            self._on_change(each)
        if page.objects:
            self._note_newest(page.objects, page.revision)
            await self._pause_for_more()
        return True

    async def _pause_for_more(self) -> None:
        now_ms = self._clock.now_ms()
        pause = _NEWS_PAUSE_S
        if now_ms - self._started_ms < _STARTING_MS:
            pause = _STARTING_PAUSE_S
        if self._first_part_ms is not None:
            arrival_ms = now_ms - self._first_part_ms
            spent_ms = arrival_ms * _ARRIVALS_IN_PAUSE
            pause = max(pause - spent_ms / _MILLISECONDS_PER_SECOND, 0)
        await asyncio.sleep(jittered(self._rng, pause, _NEWS_SPREAD))

    async def _list(self) -> None:
        timeout_s = self._seconds(self._settings.call_timeout_ms)
        page = await self._client.list_page(self.kind, '', timeout_s)
        found = list(page.objects)
        # Changes made while further pages are read are watched from here.
        revision = page.revision
        while page.has_more and page.objects:
            after = page.objects[-1].name
            page = await self._client.list_page(self.kind, after, timeout_s)
            found.extend(page.objects)
        self._answered()
        self._revision = max(self._revision, revision)
        self._on_list(tuple(found))
        self._note_newest(tuple(found), revision)

    async def _wait(self) -> StorePage | None:
        """Return changes, or nothing if the wait was cut short."""
        settings = self._settings
        wait_ms = settings.longest_wait_ms
        if self._is_sentinel:
            wait_ms = settings.sentinel_wait_ms
        limit_ms = wait_ms + settings.call_timeout_ms
        self._first_part_ms = None
        loop = asyncio.get_running_loop()
        self._waiting = loop.create_task(
            self._client.watch(
                self.kind,
                self._revision,
                wait_ms,
                self._seconds(limit_ms),
                self._note_part,
            ),
        )
        await asyncio.wait({self._waiting})
        if self._waiting.cancelled():
            return None
        return self._waiting.result()

    async def _pause_after(self, unavailable: Exception) -> None:
        self._failures += 1
        self._last_failed_ms = self._clock.now_ms()
        if self._failures == 1:
            self._first_failed_ms = self._last_failed_ms
            logging.warning('store, %s: %s', self.kind, unavailable)
        doubled = _FIRST_PAUSE_S * 2 ** min(self._failures - 1, 5)
        pause = min(doubled, _LONGEST_PAUSE_S)
        await asyncio.sleep(jittered(self._rng, pause))

    def _answered(self) -> None:
        if self._failures:
            logging.info('store, %s: answers again', self.kind)
            if self._last_failed_ms - self._first_failed_ms > _AWAY_MS:
                self._on_return(self._last_failed_ms)
        self._failures = 0
        self._behind_limit_ms = _BEHIND_MS

    def _note_newest(
        self,
        found: tuple[StoreObject, ...],
        revision: int,
    ) -> None:
        changed = [
            revision if each.is_deleted else each.revision for each in found
        ]
        self.newest = max(self.newest, *changed, 0)

    def _seconds(self, milliseconds: int) -> float:
        return milliseconds / _MILLISECONDS_PER_SECOND
