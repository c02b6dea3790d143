"""The narrow interface to the platform's object API."""

from typing import Protocol

from catkindrift.domain import Vm
from catkindrift.store._object import StoredObject


class Platform(Protocol):
    """Object store with versions, conditional writes, watches and a VM list.

    Every method raises `PlatformUnavailableError` when the call was not
    taken. Writes raise `PlatformAmbiguousError` when their answer was lost.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or nothing when there is no object."""

    async def list_objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""

    async def create(self, kind: str, name: str, text: str) -> StoredObject:
        """Write a new object.

        Raises:
            PlatformConflictError: An object of that name exists.
        """

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known`.

        Raises:
            PlatformConflictError: The object has another version by now.
        """

    async def delete(self, known: StoredObject) -> None:
        """Remove `known`.

        Raises:
            PlatformConflictError: The object has another version by now.
        """

    async def watch(
        self,
        kind: str,
        after_version: int,
        wait_ms: int,
    ) -> tuple[StoredObject, ...]:
        """Return objects of a kind that changed after a version.

        Waits up to `wait_ms` for a change; the answer may be empty.
        """

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which lags."""
