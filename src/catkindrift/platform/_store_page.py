"""Responses of the platform's store to lists and watches."""

from typing import final

import attrs

from catkindrift.platform._store_object import StoreObject


@final
@attrs.frozen
class StorePage:
    """One page of a list, or the changes that a watch returned.

    Args:
        objects: Listed objects, or changes in the order in which they
            occurred.
        revision: Store revision from which to watch for further changes.
        has_more: Whether another page follows.
    """

    objects: tuple[StoreObject, ...]
    revision: int
    has_more: bool = False

    @property
    def latest_changes(self) -> tuple[StoreObject, ...]:
        """Return the last change of each object, in the order of the page."""
        last = {each.name: each for each in self.objects}
        return tuple(each for each in self.objects if last[each.name] is each)

    @property
    def has_superseded_changes(self) -> bool:
        """Return whether an object occurs more than once."""
        return len({each.name for each in self.objects}) < len(self.objects)
