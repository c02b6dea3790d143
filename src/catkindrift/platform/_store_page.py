"""Answers of the platform's store to lists and watches."""

from typing import final

import attrs

from catkindrift.platform._store_object import StoreObject


@final
@attrs.frozen
class StorePage:
    """Objects of a kind, or their changes.

    Args:
        objects: The objects.
        revision: Store revision to go on from.
        has_more: Whether another page follows.
    """

    objects: tuple[StoreObject, ...]
    revision: int
    has_more: bool = False
