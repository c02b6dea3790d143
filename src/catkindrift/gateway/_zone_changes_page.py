"""Tells the VMs of the zone what the store told this one."""

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._zone_message import ZoneMessage
from catkindrift.http1 import Answer, CallerRequest

_MILLISECONDS_PER_SECOND = 1000
_LONGEST_WAIT_MS = 30_000
_PATH = re.compile(
    r'/changes/(?P<kind>[\w.-]+)/(?P<revision>\d{1,18})/(?P<wait_ms>\d{1,9})',
)


@final
@attrs.define(eq=False)
class ZoneChangesPage:
    """Answers watches of other entry VMs.

    A VM that does not ask the store itself, or fails to, says so at once:
    who asks then turns to the store.

    Args:
        clock: Source of time.
        watch_of: Returns the watch of a kind, or nothing.
    """

    _clock: Clock
    _find_watch: Callable[[str], StoreWatch | None]

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one watch."""
        parts = _PATH.fullmatch(request.path)
        watch = self._find_watch(parts['kind']) if parts else None
        if parts is None or watch is None:
            return Answer(HTTPStatus.NOT_FOUND)
        wait_ms = min(int(parts['wait_ms']), _LONGEST_WAIT_MS)
        return await self._answer(watch, int(parts['revision']), wait_ms)

    async def _answer(
        self,
        watch: StoreWatch,
        revision: int,
        wait_ms: int,
    ) -> Answer:
        if not watch.is_direct:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE)
        log = watch.change_log
        await log.wait_for_changes(revision, wait_ms / _MILLISECONDS_PER_SECOND)
        page = log.changes_after(revision)
        if page is None or not watch.is_direct:
            return Answer(HTTPStatus.GONE)
        outage = watch.health.outage
        ages = outage.convert_ages(self._clock.now_ms()) if outage else None
        return Answer(HTTPStatus.OK, [], ZoneMessage(page, ages).to_json())
