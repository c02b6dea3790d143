"""Complete list of the objects of one kind, kept up to date by a watch."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.platform import StoreObject, StorePage


@final
@attrs.define(eq=False, repr=False)
class ObjectList:
    """Serves first listings of other VMs of the zone.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _revision: int = attrs.field(init=False, default=0)
    _confirmed_ms: int = attrs.field(init=False, default=0)
    _objects: dict[str, StoreObject] = attrs.field(init=False, factory=dict)
    _has_list: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def page(self) -> StorePage:
        """All objects, and the revision from which to watch."""
        return StorePage(tuple(self._objects.values()), self._revision)

    @property
    def is_listed(self) -> bool:
        """Whether there is a list."""
        return self._has_list.is_set()

    @property
    def age_ms(self) -> int:
        """Time since the list was known to be current."""
        return self._clock.now_ms() - self._confirmed_ms

    def replace(
        self, found: Iterable[StoreObject], revision: int, age_ms: int = 0
    ) -> None:
        """Replace all objects.

        Args:
            found: Complete list of the objects.
            revision: Revision from which to watch for changes.
            age_ms: Time since the list was known to be current.
        """
        self._objects = {each.name: each for each in found}
        self._revision = revision
        self.confirm(age_ms)
        self._has_list.set()

    def apply(
        self,
        changed: Iterable[StoreObject],
        revision: int,
        age_ms: int | None = 0,
    ) -> None:
        """Apply changes in their order.

        Args:
            changed: Objects as changed or deleted.
            revision: Revision from which to watch for further changes.
            age_ms: Time since the store held nothing newer; None if the
                sender of the changes doesn't tell it.
        """
        for each in changed:
            if each.is_deleted:
                self._objects.pop(each.name, None)
            else:
                self._objects[each.name] = each
        self._revision = revision
        if age_ms is not None:
            self.confirm(age_ms)

    def confirm(self, age_ms: int) -> None:
        """Record that the store held nothing newer `age_ms` ago."""
        confirmed_ms = self._clock.now_ms() - age_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    async def wait_until_listed(self, wait_s: float) -> bool:
        """Wait up to `wait_s` seconds; return whether there is a list."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._has_list.wait()
        return self.is_listed
