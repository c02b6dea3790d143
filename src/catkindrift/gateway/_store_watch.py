"""Follows one kind of objects in the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.errors import (
    AnswerTooLargeError,
    HistoryGoneError,
    PlatformUnavailableError,
    ZoneWatchError,
)
from catkindrift.gateway._call_pause import CallPause
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._news_pause import NewsPause
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._watch_silence import WatchSilence
from catkindrift.gateway._watch_source import WatchSource
from catkindrift.gateway._whole_list import whole_list
from catkindrift.limits import jittered
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan

_MILLISECONDS_PER_SECOND = 1000
# Pause before a list after the store has dropped its history.
_RELIST_PAUSE_S = 0.15


@final
@attrs.define(eq=False)
class StoreWatch:
    """Lists objects once, then waits for changes; lists again when needed.

    Args:
        clock: Source of time.
        client: The store.
        kind: Kind of the objects.
        settings: Waits and time limits.
        health: Whether the store answers; shared by all watches.
        on_list: Takes the whole list.
        on_change: Takes one change.
        on_return: Called before the news that follow an outage, with that
            outage.
        lists_when_behind: Whether a list is smaller than all changes that
            were missed, as of a few large objects that change often. While
            they change faster than they are asked for, they are listed too.
    """

    _clock: Clock
    _client: StoreClient
    kind: str
    _settings: GatewayPlatformSettings
    health: StoreHealth
    _on_list: Callable[[tuple[StoreObject, ...]], None]
    _on_change: Callable[[StoreObject], None]
    _on_return: Callable[[TimeSpan], None]
    _lists_when_behind: bool = False
    newest: int = attrs.field(init=False, default=0)
    log: ChangeLog = attrs.field(init=False, factory=ChangeLog)
    _revision: int = attrs.field(init=False, default=0)
    _is_listed: bool = attrs.field(init=False, default=False)
    _is_outpaced: bool = attrs.field(init=False, default=False)
    _source: WatchSource = attrs.field(init=False)
    _silence: WatchSilence = attrs.field(init=False)
    _call_pause: CallPause = attrs.field(init=False, factory=CallPause)
    _pause: NewsPause = attrs.field(init=False)
    _waiting: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )
    _listing: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Make the parts."""
        clock = self._clock
        self._source = WatchSource(
            clock, self._client, self.kind, self._settings
        )
        self._silence = WatchSilence(clock)
        self._pause = NewsPause(clock)

    @property
    def is_direct(self) -> bool:
        """Return whether this VM asks the store itself, and is answered."""
        return not self._source.asks_zone and not self._call_pause.is_failing

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self._step()
            except (HistoryGoneError, AnswerTooLargeError):
                self._answered()
                # A list tells each object once, however often it changed.
                self._is_listed = False
                await asyncio.sleep(jittered(self._rng, _RELIST_PAUSE_S))
            except ZoneWatchError as unable:
                logging.info('watch of %s: %s', self.kind, unable)
                self._source.avoid_zone()
            except PlatformUnavailableError as unavailable:
                self.health.failed(unavailable)
                await self._call_pause.wait()

    def ask_at_once(self) -> None:
        """End the pause after calls that failed, and the call that runs."""
        if not self._call_pause.is_failing:
            return
        self._call_pause.cut_short()
        for call in (self._waiting, self._listing):
            if call:
                call.cancel()

    def peer_is_at(self, revision: int) -> None:
        """Cut a waiting watch short if it has missed what a peer knows."""
        if self._waiting is None or self._waiting.done():
            self._silence.not_waiting()
            return
        asks_zone = self._source.asks_zone
        if self._silence.is_silent(
            revision, self._revision, asks_zone=asks_zone
        ):
            logging.info('watch of %s was silent; asking anew', self.kind)
            if asks_zone:
                self._source.avoid_zone()
            if self._lists_when_behind:
                self._is_listed = False
            self._waiting.cancel()

    def serve_as_sentinel(self, *, is_sentinel: bool) -> None:
        """Ask at short intervals, or no longer."""
        if is_sentinel and not self._source.is_sentinel and self._waiting:
            self._waiting.cancel()
        self._source.is_sentinel = is_sentinel

    def ask_zone(self, address: str, *, is_shared: bool) -> None:
        """Ask another VM of the zone from now on, or the store itself.

        Args:
            address: Where the VM that watches for the zone listens; empty if
                that is this one.
            is_shared: Whether one VM asks for the zone.
        """
        self._pause.is_shared = is_shared
        is_news = self._source.use_zone(address)
        if is_news and self._source.asks_zone and self._waiting:
            self._waiting.cancel()

    async def _step(self) -> None:
        if not self._is_listed:
            await self._list()
            return
        page = await self._wait()
        if page is None:
            return
        self._revision = max(self._revision, page.revision)
        for each in page.newest:
            self._on_change(each)
        self._note_newest(page)
        if self._lists_when_behind and page.is_superseded:
            self._is_outpaced = True
            self._is_listed = False
        await self._hand_on(page)

    async def _hand_on(self, page: StorePage) -> None:
        """Keep changes for the zone, and let more of them gather."""
        if self._source.asks_zone:
            # Only who asks the store keeps them; that VM has paused too.
            self.log.restart(self._revision)
            return
        self.log.add(attrs.evolve(page, objects=page.newest))
        if page.objects:
            await asyncio.sleep(self._pause.seconds())

    async def _list(self) -> None:
        limit_ms = self._settings.call_timeout_ms
        known = self.newest
        self._pause.asked(is_wait=False)
        timeout_s = limit_ms / _MILLISECONDS_PER_SECOND
        self._listing = asyncio.get_running_loop().create_task(
            whole_list(self._client, self.kind, timeout_s),
        )
        page = await _outcome(self._listing)
        if page is None:
            return
        self._answered()
        self._revision = max(self._revision, page.revision)
        self.log.restart(self._revision)
        self._on_list(page.objects)
        self._note_newest(page)
        # Listed on as long as each list brings news.
        self._is_outpaced = self._is_outpaced and self.newest > known
        self._is_listed = not self._is_outpaced
        if self._is_outpaced:
            await asyncio.sleep(self._pause.seconds())

    async def _wait(self) -> StorePage | None:
        """Return changes, or nothing if the wait was cut short."""
        self._pause.asked(is_wait=True)
        loop = asyncio.get_running_loop()
        self._waiting = loop.create_task(
            self._source.ask(self._revision, self._note_part),
        )
        page = await _outcome(self._waiting)
        if page is None:
            return None
        if not self._source.asks_zone:
            self._answered()
        elif self._source.outage is not None:
            self._on_return(self._source.outage)
        return page

    def _note_part(self) -> None:
        """Note that an answer is arriving, so the watch is not silent."""
        self._silence.part_arrived()
        self._pause.part_arrived()

    def _answered(self) -> None:
        self._silence.answered()
        self._call_pause.answered()
        if self.health.answered() and self.health.outage:
            self._on_return(self.health.outage)

    def _note_newest(self, page: StorePage) -> None:
        changed = [
            page.revision if each.is_deleted else each.revision
            for each in page.objects
        ]
        self.newest = max(self.newest, *changed, 0)


async def _outcome(call: asyncio.Task[StorePage]) -> StorePage | None:
    """Return what a call brings, or nothing if it is cut short."""
    await asyncio.wait({call})
    return None if call.cancelled() else call.result()
