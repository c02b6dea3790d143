"""Messages with which VMs of a zone serve objects of the store."""

from typing import final

import attrs
import msgspec

from catkindrift.platform import StorePage
from catkindrift.steering import TimeSpan


@final
@attrs.frozen
class ZoneMessage:
    """Changes of one kind, and the last outage of the store.

    Args:
        page: The changes, in the order in which the store sent them.
        outage_ages: Ages of the start and end of the last store outage that
            the sender detected; None if there was none. Ages, because clocks
            of VMs differ.
        age_ms: Time since the store held nothing newer; None from builds
            that don't send it.
    """

    page: StorePage
    outage_ages: TimeSpan | None
    age_ms: int | None = None

    @classmethod
    def from_json(cls, content: bytes) -> 'ZoneMessage':
        """Decode a message.

        Raises:
            ValueError: The content is malformed.
        """
        return msgspec.json.decode(content, type=cls)

    def to_json(self) -> bytes:
        """Encode the message."""
        return msgspec.json.encode(self)


@final
@attrs.frozen
class ZoneList:
    """All objects of one kind, from another VM of the zone.

    Args:
        page: The objects, and the revision from which to watch; a revision
            holds the era of the store.
        age_ms: Time since the list was known to be current.
    """

    page: StorePage
    age_ms: int

    @classmethod
    def from_json(cls, content: bytes) -> 'ZoneList':
        """Decode a message.

        Raises:
            ValueError: The content is malformed.
        """
        return msgspec.json.decode(content, type=cls)

    def to_json(self) -> bytes:
        """Encode the message."""
        return msgspec.json.encode(self)
