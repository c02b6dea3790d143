"""An object that the platform keeps."""

from typing import final

import attrs


@final
@attrs.frozen
class StoredObject:
    """One version of an object.

    Args:
        kind: Kind of the object.
        name: Name, unique among its kind.
        version: Rises with each write of any object of the kind.
        text: The value, JSON text of at most a megabyte.
    """

    kind: str
    name: str
    version: int
    text: str
