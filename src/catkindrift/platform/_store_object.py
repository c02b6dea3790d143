"""An object of the platform's store."""

from typing import Any, final

import attrs


@final
@attrs.frozen
class StoreObject:
    """One object as the store returns it.

    Args:
        name: Unique within its kind.
        revision: Store revision of its last change.
        spec: Content as written, not validated.
        is_deleted: Whether this is a deletion event.
    """

    name: str
    revision: int
    spec: Any
    is_deleted: bool = False

    @classmethod
    def from_document(
        cls,
        document: Any,
        *,
        is_deleted: bool = False,
    ) -> 'StoreObject | None':
        """Return the object in the store's JSON, or None if malformed."""
        metadata = document.get('metadata') if isinstance(document, dict) else 0
        if not isinstance(metadata, dict):
            return None
        name = metadata.get('name')
        revision = metadata.get('revision')
        if not isinstance(name, str) or not isinstance(revision, int):
            return None
        return cls(name, revision, document.get('spec'), is_deleted)
