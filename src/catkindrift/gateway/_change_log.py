"""The newest changes of one kind of objects."""

import asyncio
from collections import deque
from typing import final

import attrs

from catkindrift.platform import StoreObject, StorePage

# Changes kept for VMs that ask late; some seconds' worth at the target size.
_MAX_CHANGES = 2000


@final
@attrs.define(eq=False)
class ChangeLog:
    """Answers others' watches from what the store told this VM.

    Changes are kept by page: who knows a part of a page is told all of it
    again, in order, which leads to the same state.
    """

    revision: int = attrs.field(init=False, default=0)
    _oldest_revision: int = attrs.field(init=False, default=0)
    _pages: deque[StorePage] = attrs.field(init=False, factory=deque)
    _count: int = attrs.field(init=False, default=0)
    _has_changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def reset(self, revision: int) -> None:
        """Forget all; what came up to `revision` is not known here."""
        self._pages.clear()
        self._count = 0
        self._oldest_revision = revision
        self.revision = revision
        self._wake()

    def add(self, page: StorePage) -> None:
        """Keep a page of changes."""
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
        """Return the changes after `revision`, nothing if it is too old."""
        if revision < self._oldest_revision:
            return None
        objects: list[StoreObject] = []
        for page in self._pages:
            if page.revision > revision:
                objects.extend(page.objects)
        return StorePage(tuple(objects), max(self.revision, revision))

    async def wait_for_changes(self, revision: int, wait_s: float) -> None:
        """Wait until there are changes after `revision`, or the time is up."""
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= revision:
                    await self._has_changed.wait()
        except TimeoutError:
            # Nothing new is an answer too.
            return

    def _wake(self) -> None:
        self._has_changed.set()
        self._has_changed = asyncio.Event()
