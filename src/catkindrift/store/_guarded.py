"""Platform calls with rate limit, circuit breaker and write retries."""

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
# Background reads leave this many calls to writes made for callers.
_BACKGROUND_RESERVE = 5


@final
@attrs.define
class GuardedPlatform:
    """Limits the calls of a `Platform` and retries ambiguous writes.

    Every value is stored with the id of the attempt that wrote it. A write
    whose response was lost is retried with the same version condition and
    attempt id. It either succeeds or conflicts; if the stored attempt id is
    its own, the first try had taken effect.

    Args:
        inner: The platform that executes the calls.
        gate: Rate limit and circuit breaker of this VM's calls.
    """

    _inner: Platform
    _gate: CallGate
    writes_resolved: int = attrs.field(init=False, default=0)

    @property
    def is_available(self) -> bool:
        """Return whether the circuit breaker lets calls through."""
        return self._gate.is_available

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version, or None if the object does not exist."""
        found = await self._gate.call(lambda: self._inner.get(kind, name))
        return _decode_value(found) if found else None

    async def list_objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind."""
        found = await self._gate.call(lambda: self._inner.list_objects(kind))
        return tuple(_decode_value(each) for each in found)

    async def create(self, kind: str, name: str, text: str) -> StoredObject:
        """Create an object; retry if the response is lost."""
        attempt_id = uuid.uuid4().hex
        wrapped = _encode_attempt(attempt_id, text)
        return await self._write_and_resolve(
            lambda: self._inner.create(kind, name, wrapped),
            StoredObject(kind, name, 0, text),
            attempt_id,
        )

    async def update(self, known: StoredObject, text: str) -> StoredObject:
        """Replace the value of `known`; retry if the response is lost."""
        attempt_id = uuid.uuid4().hex
        wrapped = _encode_attempt(attempt_id, text)
        return await self._write_and_resolve(
            lambda: self._inner.update(known, wrapped),
            attrs.evolve(known, text=text),
            attempt_id,
        )

    async def delete(self, known: StoredObject) -> None:
        """Delete `known` if its version is still the newest."""
        await self._gate.call(lambda: self._inner.delete(known))

    async def watch(
        self,
        kind: str,
        after_version: int,
        wait_ms: int,
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind that changed after a version."""
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
        desired: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        try:
            written = await self._gate.call(write)
        except PlatformAmbiguousError:
            written = await self._retry_write(write, desired, attempt_id)
        return attrs.evolve(written, text=desired.text)

    async def _retry_write(
        self,
        write: Callable[[], Awaitable[StoredObject]],
        desired: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        """Retry a write whose response was lost.

        Raises:
            PlatformAmbiguousError: No retry showed whether it was stored.
            PlatformConflictError: Another write was stored instead.
        """
        for attempt in range(_MAX_WRITE_RETRIES):
            await asyncio.sleep(_RETRY_BACKOFF_SECONDS * (attempt + 1))
            with contextlib.suppress(*NO_RESPONSE_ERRORS):
                return await self._write_or_find_own(write, desired, attempt_id)
        raise PlatformAmbiguousError(
            'the write may have taken effect; read the object before retrying',
        )

    async def _write_or_find_own(
        self,
        write: Callable[[], Awaitable[StoredObject]],
        desired: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        try:
            return await self._gate.call(write)
        except PlatformConflictError:
            return await self._find_own_write(desired, attempt_id)

    async def _find_own_write(
        self,
        desired: StoredObject,
        attempt_id: str,
    ) -> StoredObject:
        found = await self._gate.call(
            lambda: self._inner.get(desired.kind, desired.name),
        )
        if found is None or _decode_attempt_id(found) != attempt_id:
            raise PlatformConflictError(
                'the object has another version; read it again and retry',
            )
        self.writes_resolved += 1
        return attrs.evolve(desired, version=found.version)


def _encode_attempt(attempt_id: str, text: str) -> str:
    return json.dumps({'attempt': attempt_id, 'value': text})


def _decode_value(found: StoredObject) -> StoredObject:
    return attrs.evolve(found, text=json.loads(found.text)['value'])


def _decode_attempt_id(found: StoredObject) -> str:
    return str(json.loads(found.text)['attempt'])
