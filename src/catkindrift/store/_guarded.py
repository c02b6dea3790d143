"""Budget, breaker and resolution of lost answers for platform calls."""

import asyncio
import contextlib
import json
import uuid
from collections.abc import Awaitable, Callable
from typing import final

import attrs

from catkindrift.domain import Vm
from catkindrift.errors import (
    PlatformAmbiguousError,
    PlatformConflictError,
)
from catkindrift.store._call_gate import NO_RESPONSE_ERRORS, CallGate
from catkindrift.store._interface import Platform
from catkindrift.store._object import StoredObject

_MAX_WRITE_RETRIES = 4
_RETRY_BACKOFF_SECONDS = 0.1
# Calls that background work leaves to writes made for callers.
_BACKGROUND_RESERVE = 5


@final
@attrs.define
class GuardedPlatform:
    """Wraps a `Platform` so that no caller can overload or misread it.

    Every value is stored with the id of the attempt that wrote it. A write
    whose answer was lost is sent again under the same condition and id: it
    either succeeds, or conflicts with itself, which the id reveals.

    Args:
        inner: The platform.
        gate: Budget and breaker of this VM's calls.
    """

    _inner: Platform
    _gate: CallGate
    writes_resolved: int = attrs.field(init=False, default=0)

    @property
    def is_available(self) -> bool:
        """Return whether recent calls were answered."""
        return self._gate.is_available

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or nothing when there is no object."""
        found = await self._gate.call(lambda: self._inner.get(kind, name))
        return _decode_value(found) if found else None

    async def list_objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""
        found = await self._gate.call(lambda: self._inner.list_objects(kind))
        return tuple(_decode_value(each) for each in found)

    async def create(self, kind: str, name: str, text: str) -> StoredObject:
        """Write a new object; a lost answer is resolved."""
        attempt_id = uuid.uuid4().hex
        wrapped = _encode_attempt(attempt_id, text)
        return await self._write_and_resolve(
            lambda: self._inner.create(kind, name, wrapped),
            StoredObject(kind, name, 0, text),
            attempt_id,
        )

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known`; a lost answer is resolved."""
        attempt_id = uuid.uuid4().hex
        wrapped = _encode_attempt(attempt_id, text)
        return await self._write_and_resolve(
            lambda: self._inner.update(known, wrapped),
            attrs.evolve(known, text=text),
            attempt_id,
        )

    async def delete(self, known: StoredObject) -> None:
        """Remove `known`."""
        await self._gate.call(lambda: self._inner.delete(known))

    async def watch(
        self,
        kind: str,
        after_version: int,
        wait_ms: int,
    ) -> tuple[StoredObject, ...]:
        """Return objects of a kind that changed after a version."""
        found = await self._gate.call(
            lambda: self._inner.watch(kind, after_version, wait_ms),
            _BACKGROUND_RESERVE,
        )
        return tuple(_decode_value(each) for each in found)

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list."""
        return await self._gate.call(self._inner.list_vms, _BACKGROUND_RESERVE)

    async def _write_and_resolve(
        self,
        write: Callable[[], Awaitable[StoredObject]],
        wanted: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        try:
            written = await self._gate.call(write)
        except PlatformAmbiguousError:
            written = await self._retry_write(write, wanted, attempt_id)
        return attrs.evolve(written, text=wanted.text)

    async def _retry_write(
        self,
        write: Callable[[], Awaitable[StoredObject]],
        wanted: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        """Repeat a write whose answer was lost until its effect is known."""
        for attempt in range(_MAX_WRITE_RETRIES):
            await asyncio.sleep(_RETRY_BACKOFF_SECONDS * (attempt + 1))
            with contextlib.suppress(*NO_RESPONSE_ERRORS):
                return await self._write_or_find_own(write, wanted, attempt_id)
        raise PlatformAmbiguousError(
            'the write may have taken effect; read the object before retrying',
        )

    async def _write_or_find_own(
        self,
        write: Callable[[], Awaitable[StoredObject]],
        wanted: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        try:
            return await self._gate.call(write)
        except PlatformConflictError:
            return await self._find_own_write(wanted, attempt_id)

    async def _find_own_write(
        self,
        wanted: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        found = await self._gate.call(
            lambda: self._inner.get(wanted.kind, wanted.name),
        )
        if found is None or _decode_attempt_id(found) != attempt_id:
            raise PlatformConflictError(
                'the object has another version; read it again and retry',
            )
        self.writes_resolved += 1
        return attrs.evolve(wanted, version=found.version)


def _encode_attempt(attempt_id: str, text: str) -> str:
    return json.dumps({'attempt': attempt_id, 'value': text})


def _decode_value(found: StoredObject) -> StoredObject:
    return attrs.evolve(found, text=json.loads(found.text)['value'])


def _decode_attempt_id(found: StoredObject) -> str:
    return str(json.loads(found.text)['attempt'])
