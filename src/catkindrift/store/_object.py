"""One version of an object in the platform's object store."""

from typing import final

import attrs


@final
@attrs.frozen
class StoredObject:
    """A version of an object and its value.

    Args:
        kind: Kind of the object.
        name: Name, unique within the kind.
        version: Version, which increases with each write of any object of the
            kind.
        text: The value, JSON text of at most one megabyte.
    """

    kind: str
    name: str
    version: int
    text: str
