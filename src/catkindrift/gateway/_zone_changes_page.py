"""Serves changes of the store to other entry VMs of the zone."""

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._zone_message import ZoneList, ZoneMessage
from catkindrift.gateway._zone_page import TAKES_OVER, pack
from catkindrift.http1 import CallerRequest, Response

_MILLISECONDS_PER_SECOND = 1000
_LONGEST_WAIT_MS = 30_000
# VMs that start together wait for the first of them to have a list.
_LONGEST_LIST_WAIT_MS = 1000
_PATH = re.compile(
    r'/changes/(?P<kind>[\w.-]+)/(?P<revision>\d{1,18})/(?P<wait_ms>\d{1,9})',
)


_LIST_PATH = re.compile(r'/list/(?P<kind>[\w.-]+)/(?P<wait_ms>\d{1,9})')


@final
@attrs.define(eq=False, repr=False)
class ZoneChangesPage:
    """Serves the watches of other entry VMs from this VM's change log.

    Any VM that has a list of a kind serves it to VMs that start. If this VM
    doesn't poll the store itself, or its calls fail, it returns an
    error to watches at once, and the client falls back to the store.

    Args:
        clock: Source of time.
        find_watch: Returns the shared watch of a kind, or None.
    """

    _clock: Clock
    _find_watch: Callable[[str], StoreWatch | None]

    async def __call__(self, request: CallerRequest) -> Response:
        """Handle one request for changes or for a list."""
        listed = _LIST_PATH.fullmatch(request.path)
        if listed:
            wait_ms = min(int(listed['wait_ms']), _LONGEST_LIST_WAIT_MS)
            return await self._list(listed['kind'], wait_ms, request.query)
        parts = _PATH.fullmatch(request.path)
        watch = self._find_watch(parts['kind']) if parts else None
        if parts is None or watch is None:
            return Response(HTTPStatus.NOT_FOUND)
        wait_ms = min(int(parts['wait_ms']), _LONGEST_WAIT_MS)
        if TAKES_OVER.encode() in request.query.split(b'&'):
            watch.poll.take_over()
        revision = int(parts['revision'])
        return await self._respond(watch, revision, wait_ms, request.query)

    async def _list(self, kind: str, wait_ms: int, query: bytes) -> Response:
        watch = self._find_watch(kind)
        if watch is None:
            return Response(HTTPStatus.NOT_FOUND)
        listed = watch.listed
        wait_s = wait_ms / _MILLISECONDS_PER_SECOND
        if not await listed.wait_until_listed(wait_s):
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        return pack(ZoneList(listed.page, listed.age_ms).to_json(), query)

    async def _respond(
        self,
        watch: StoreWatch,
        revision: int,
        wait_ms: int,
        query: bytes,
    ) -> Response:
        if not watch.is_direct:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        log = watch.change_log
        await log.wait_for_changes(revision, wait_ms / _MILLISECONDS_PER_SECOND)
        page = log.changes_after(revision)
        if not watch.is_direct:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        if page is None:
            return Response(HTTPStatus.GONE)
        outage = watch.health.outage
        ages = outage.convert_ages(self._clock.now_ms()) if outage else None
        message = ZoneMessage(page, ages, watch.listed.age_ms)
        return pack(message.to_json(), query)
