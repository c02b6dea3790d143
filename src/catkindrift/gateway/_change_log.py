"""A bounded log of recent changes to the objects of one kind."""

import asyncio
from collections import deque
from typing import final

import attrs

from catkindrift.platform import StoreObject, StorePage

# Covers a few seconds of changes at the target size, for VMs that poll late.
_MAX_CHANGES = 2000


@final
@attrs.define(eq=False, repr=False)
class ChangeLog:
    """Serves watches of other VMs from changes received from the store.

    Changes are kept by page. A client whose revision lies within a page gets
    the whole page again, in order; applying it twice gives the same state.
    """

    revision: int = attrs.field(init=False, default=0)
    _oldest_revision: int = attrs.field(init=False, default=0)
    _pages: deque[StorePage] = attrs.field(init=False, factory=deque)
    _count: int = attrs.field(init=False, default=0)
    _has_changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def reset(self, revision: int) -> None:
        """Drop all changes; the log then starts after `revision`."""
        self._pages.clear()
        self._count = 0
        self._oldest_revision = revision
        self.revision = revision
        self._wake()

    def add(self, page: StorePage) -> None:
        """Append a page of changes and drop the oldest pages if full."""
        self.revision = max(self.revision, page.revision)
        if not page.objects:
            return
        self._pages.append(page)
        self._count += len(page.objects)
        while self._count > _MAX_CHANGES:
            oldest = self._pages.popleft()
            self._count -= len(oldest.objects)
            self._oldest_revision = oldest.revision
        self._wake()

    def changes_after(self, revision: int) -> StorePage | None:
        """Return the changes after `revision`, None if the log lacks some."""
        if revision < self._oldest_revision:
            return None
        objects: list[StoreObject] = []
        for page in self._pages:
            if page.revision > revision:
                objects.extend(page.objects)
        return StorePage(tuple(objects), max(self.revision, revision))

    async def wait_for_changes(self, revision: int, wait_s: float) -> None:
        """Wait up to `wait_s` seconds for a change after `revision`."""
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= revision:
                    await self._has_changed.wait()
        except TimeoutError:
            # A watch without changes returns an empty page, not an error.
            return

    def _wake(self) -> None:
        self._has_changed.set()
        self._has_changed = asyncio.Event()
