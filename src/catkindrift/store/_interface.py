"""Interface to the platform's object store."""

from typing import Protocol

from catkindrift.domain import Vm
from catkindrift.store._object import StoredObject


class Platform(Protocol):
    """Versioned object store with conditional writes, watches and a VM list.

    Every method raises `PlatformUnavailableError` when the call had no effect
    or a read got no response. Writes raise `PlatformAmbiguousError` when their
    response was lost and they may have taken effect.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or None if the object does not exist."""

    async def list_objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""

    async def create(self, kind: str, name: str, text: str) -> StoredObject:
        """Create an object.

        Raises:
            PlatformConflictError: An object of that kind and name exists.
        """

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known` if its version is still the newest.

        Raises:
            PlatformConflictError: The object has changed since it was read.
        """

    async def delete(self, known: StoredObject) -> None:
        """Delete `known` if its version is still the newest.

        Raises:
            PlatformConflictError: The object has changed since it was read.
        """

    async def watch(
        self,
        kind: str,
        after_version: int,
        wait_ms: int,
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that changed after a version.

        Waits up to `wait_ms` for a change and returns an empty tuple if there
        was none.
        """

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which may lag behind the actual VMs."""
