"""What entry VMs of a zone tell each other about the store."""

from typing import Any, final

import attrs
import msgspec

from catkindrift.platform import StoreObject, StorePage


@final
@attrs.frozen
class ZoneChange:
    """One change of an object.

    Args:
        name: Name of the object.
        revision: Store revision of its last change.
        spec: What its writer put there, not checked yet.
        is_deleted: Whether this is the news of its removal.
    """

    name: str
    revision: int
    spec: Any
    is_deleted: bool


@final
@attrs.frozen
class ZoneMessage:
    """Changes of one kind.

    Args:
        revision: Store revision that they lead to.
        changes: The changes, in the order in which the store told them.
        outage_age_ms: Time since the end of the last outage of the store,
            as the sender saw it; nothing if it saw none.
    """

    revision: int
    changes: list[ZoneChange]
    outage_age_ms: int | None

    @property
    def page(self) -> StorePage:
        """Return the changes as the store would tell them."""
        found = [
            StoreObject(each.name, each.revision, each.spec, each.is_deleted)
            for each in self.changes
        ]
        return StorePage(tuple(found), self.revision)


def encode_changes(page: StorePage, outage_age_ms: int | None) -> bytes:
    """Return the JSON of a message."""
    changes = [
        ZoneChange(each.name, each.revision, each.spec, each.is_deleted)
        for each in page.objects
    ]
    return msgspec.json.encode(
        ZoneMessage(page.revision, changes, outage_age_ms),
    )


def decode_changes(content: bytes) -> ZoneMessage:
    """Return a message from its JSON.

    Raises:
        ValueError: It is none.
    """
    return msgspec.json.decode(content, type=ZoneMessage)
