"""The configuration in the platform."""

import contextlib
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.domain import Configuration, decode_json, encode_json
from catkindrift.errors import ConflictError, PlatformConflictError
from catkindrift.store import Platform, StoredObject

CONFIGURATION_KIND = 'configuration'
_NAME = 'current'
_EDIT_ATTEMPTS = 5


@final
@attrs.frozen
class ConfigurationSnapshot:
    """A configuration with the time at which it was the newest.

    Args:
        configuration: The configuration.
        version: Version of its object; 0 when there is none yet.
        confirmed_ms: Local time at which the call that showed it began.
    """

    configuration: Configuration
    version: int
    confirmed_ms: int


@final
@attrs.frozen
class ConfigurationStore:
    """Reads and writes the configuration as one object.

    Args:
        platform: The platform, with lost answers resolved.
        clock: Source of time.
    """

    _platform: Platform
    _clock: Clock

    async def load(self) -> ConfigurationSnapshot:
        """Return the newest configuration, an empty one at first."""
        asked_ms = self._clock.now_ms()
        stored = await self._platform.get(CONFIGURATION_KIND, _NAME)
        if stored is None:
            return ConfigurationSnapshot(Configuration(), 0, asked_ms)
        return _decode(stored, asked_ms)

    async def watch(
        self,
        known: ConfigurationSnapshot,
        wait_ms: int,
    ) -> ConfigurationSnapshot:
        """Wait for a configuration newer than `known`.

        An answer without a change confirms `known` anew.
        """
        asked_ms = self._clock.now_ms()
        found = await self._platform.watch(
            CONFIGURATION_KIND, known.version, wait_ms
        )
        if not found:
            return attrs.evolve(known, confirmed_ms=asked_ms)
        return _decode(found[-1], asked_ms)

    async def replace(
        self,
        known: ConfigurationSnapshot,
        new: Configuration,
    ) -> ConfigurationSnapshot:
        """Write a configuration on condition that `known` is the newest.

        Raises:
            PlatformConflictError: It is not.
        """
        asked_ms = self._clock.now_ms()
        text = encode_json(new)
        if known.version:
            expected = StoredObject(
                CONFIGURATION_KIND, _NAME, known.version, ''
            )
            stored = await self._platform.update(expected, text)
        else:
            stored = await self._platform.create(
                CONFIGURATION_KIND, _NAME, text
            )
        return ConfigurationSnapshot(new, stored.version, asked_ms)

    async def edit(
        self,
        change: Callable[[Configuration], Configuration],
    ) -> ConfigurationSnapshot:
        """Apply a change to the newest configuration.

        The change is computed again when another writer was faster; it has to
        raise a `ConflictError` itself when it makes no sense any more.

        Raises:
            ConflictError: Other writers were faster each time.
        """
        for _ in range(_EDIT_ATTEMPTS):
            known = await self.load()
            new = change(known.configuration)
            if new is known.configuration:
                return known
            with contextlib.suppress(PlatformConflictError):
                return await self.replace(known, new)
        raise ConflictError(
            'other operators changed the configuration at the same time; '
            'read it again and retry',
        )


def _decode(stored: StoredObject, asked_ms: int) -> ConfigurationSnapshot:
    configuration = decode_json(stored.text, Configuration)
    return ConfigurationSnapshot(configuration, stored.version, asked_ms)
