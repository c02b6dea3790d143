"""The newest changes of one kind of objects."""

import asyncio
from collections import deque
from typing import final

import attrs

from catkindrift.platform import StoreObject, StorePage

# Changes kept for VMs that ask late; some seconds' worth at the target size.
_MOST_CHANGES = 2000


@final
@attrs.define(eq=False)
class ChangeLog:
    """Answers others' watches from what the store told this VM.

    Changes are kept by page: who knows a part of a page is told all of it
    again, in order, which leads to the same state.
    """

    revision: int = attrs.field(init=False, default=0)
    _start: int = attrs.field(init=False, default=0)
    _pages: deque[StorePage] = attrs.field(init=False, factory=deque)
    _count: int = attrs.field(init=False, default=0)
    _has_grown: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def restart(self, revision: int) -> None:
        """Forget all; what came up to `revision` is not known here."""
        self._pages.clear()
        self._count = 0
        self._start = revision
        self.revision = revision
        self._wake()

    def add(self, page: StorePage) -> None:
        """Keep a page of changes."""
        self.revision = max(self.revision, page.revision)
        if not page.objects:
            return
        self._pages.append(page)
        self._count += len(page.objects)
        while self._count > _MOST_CHANGES:
            oldest = self._pages.popleft()
            self._count -= len(oldest.objects)
            self._start = oldest.revision
        self._wake()

    def after(self, revision: int) -> StorePage | None:
        """Return the changes after `revision`, nothing if it is too old."""
        if revision < self._start:
            return None
        found: list[StoreObject] = []
        for page in self._pages:
            if page.revision > revision:
                found.extend(page.objects)
        return StorePage(tuple(found), max(self.revision, revision))

    async def wait_beyond(self, revision: int, wait_s: float) -> None:
        """Wait until there are changes after `revision`, or the time is up."""
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= revision:
                    await self._has_grown.wait()
        except TimeoutError:
            # Nothing new is an answer too.
            return

    def _wake(self) -> None:
        self._has_grown.set()
        self._has_grown = asyncio.Event()
