"""A bounded log of recent changes to the objects of one kind."""

import asyncio
from typing import final

import attrs

from catkindrift.platform import StoreObject, StorePage

# Covers a few seconds of changes at the target size, for VMs that poll late.
_MAX_CHANGES = 2000


@final
@attrs.define(eq=False, repr=False)
class ChangeLog:
    """Serves watches of other VMs from changes received from the store.

    Of each object only the last change is kept: a version of a large object
    takes hundreds of kilobytes. Changes are kept with the revision of their
    page. A client whose revision lies within a page gets the whole page again,
    in order; applying it twice gives the same state.
    """

    revision: int = attrs.field(init=False, default=0)
    _oldest_revision: int = attrs.field(init=False, default=0)
    _changes: dict[str, tuple[int, StoreObject]] = attrs.field(
        init=False, factory=dict
    )
    _interruptions: int = attrs.field(init=False, default=0)
    _has_changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def reset(self, revision: int) -> None:
        """Drop all changes; the log then starts after `revision`."""
        self._changes.clear()
        self._oldest_revision = revision
        self.revision = revision
        self._wake()

    def add(self, page: StorePage) -> None:
        """Append a page of changes and drop the oldest changes if full."""
        self.revision = max(self.revision, page.revision)
        if not page.objects:
            return
        for each in page.objects:
            self._changes.pop(each.name, None)
            self._changes[each.name] = (page.revision, each)
        while len(self._changes) > _MAX_CHANGES:
            oldest = next(iter(self._changes))
            self._oldest_revision = self._changes.pop(oldest)[0]
        self._wake()

    def changes_after(self, revision: int) -> StorePage | None:
        """Return the changes after `revision`, None if the log lacks some."""
        if revision < self._oldest_revision:
            return None
        objects = tuple(
            each
            for page_revision, each in self._changes.values()
            if page_revision > revision
        )
        return StorePage(objects, max(self.revision, revision))

    async def wait_for_changes(self, revision: int, wait_s: float) -> None:
        """Wait up to `wait_s` seconds for a change after `revision`."""
        interruptions = self._interruptions
        try:
            async with asyncio.timeout(wait_s):
                while (
                    self.revision <= revision
                    and self._interruptions == interruptions
                ):
                    await self._has_changed.wait()
        except TimeoutError:
            # A watch without changes returns an empty page, not an error.
            return

    def interrupt(self) -> None:
        """End the waits now; this VM can't follow the store at present."""
        self._interruptions += 1
        self._wake()

    def _wake(self) -> None:
        self._has_changed.set()
        self._has_changed = asyncio.Event()
