"""An in-memory object store for demonstrations and tests."""

import threading
from typing import final

import attrs

from catkindrift.domain import Vm
from catkindrift.errors import NotFoundError, PlatformConflictError
from catkindrift.store._object import StoredObject

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class InMemoryStore:
    """Versioned objects and the VM list.

    All request threads of a server share one store, so a condition variable
    guards it.
    """

    _changed: threading.Condition = attrs.field(
        init=False,
        factory=threading.Condition,
    )
    _objects: dict[tuple[str, str], StoredObject] = attrs.field(
        init=False,
        factory=dict,
    )
    _vms: dict[str, Vm] = attrs.field(init=False, factory=dict)
    _version: int = attrs.field(init=False, default=0)

    def get(self, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises:
            NotFoundError: The object does not exist.
        """
        with self._changed:
            found = self._objects.get((kind, name))
        if found is None:
            raise NotFoundError(f'no {kind} named {name}; create it first')
        return found

    def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind."""
        return self.changes_after(kind, 0)

    def changes_after(self, kind: str, version: int) -> list[StoredObject]:
        """Return the objects of a kind that were written after `version`."""
        with self._changed:
            return [
                each
                for each in self._objects.values()
                if each.kind == kind and each.version > version
            ]

    def put(
        self,
        kind: str,
        name: str,
        text: str,
        expected: int,
    ) -> StoredObject:
        """Write an object if its version is `expected`.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            text: New value.
            expected: Version that the object must have; 0 if it must not
                exist.

        Raises:
            PlatformConflictError: The object has another version.
        """
        with self._changed:
            self._check_version(kind, name, expected)
            self._version += 1
            written = StoredObject(kind, name, self._version, text)
            self._objects[kind, name] = written
            self._changed.notify_all()
            return written

    def delete(self, kind: str, name: str, expected: int) -> None:
        """Delete an object if its version is `expected`.

        Raises:
            PlatformConflictError: The object has another version.
        """
        with self._changed:
            self._check_version(kind, name, expected)
            self._objects.pop((kind, name), None)

    def wait_for_changes(
        self,
        kind: str,
        version: int,
        wait_ms: int,
    ) -> list[StoredObject]:
        """Wait up to `wait_ms` for changes after `version` and return them."""
        with self._changed:
            self._changed.wait_for(
                lambda: any(
                    each.kind == kind and each.version > version
                    for each in self._objects.values()
                ),
                wait_ms / _MILLISECONDS_PER_SECOND,
            )
        return self.changes_after(kind, version)

    def put_vm(self, vm: Vm) -> None:
        """Add a VM to the VM list, or replace its entry."""
        with self._changed:
            self._vms[vm.name] = vm

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the VM list."""
        with self._changed:
            self._vms.pop(name, None)

    def list_vms(self) -> list[Vm]:
        """Return the VM list."""
        with self._changed:
            return list(self._vms.values())

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        found = self._objects.get((kind, name))
        version = found.version if found else 0
        if version != expected:
            raise PlatformConflictError(
                f'{kind} {name} has version {version}; read it and retry',
            )
