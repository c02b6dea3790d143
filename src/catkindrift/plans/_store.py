"""Storage of the configuration in the platform."""

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
    """A stored configuration and when it was known to be the newest.

    Args:
        configuration: The configuration.
        version: Version of the stored object; 0 if none is stored yet.
        confirmed_ms: Local time in milliseconds at which the call that
            returned it began.
    """

    configuration: Configuration
    version: int
    confirmed_ms: int


@final
@attrs.frozen
class ConfigurationStore:
    """Reads and writes the configuration as one stored object.

    Args:
        platform: The platform; it must resolve writes whose response was
            lost.
        clock: Source of time.
    """

    _platform: Platform
    _clock: Clock

    async def load(self) -> ConfigurationSnapshot:
        """Return the newest configuration; empty if none is stored."""
        requested_ms = self._clock.now_ms()
        stored = await self._platform.get(CONFIGURATION_KIND, _NAME)
        if stored is None:
            return ConfigurationSnapshot(Configuration(), 0, requested_ms)
        return _decode(stored, requested_ms)

    async def watch(
        self,
        known: ConfigurationSnapshot,
        wait_ms: int,
    ) -> ConfigurationSnapshot:
        """Wait for a configuration newer than `known`.

        Args:
            known: The newest snapshot so far.
            wait_ms: Longest time to wait.

        Returns:
            The newer configuration, or `known` with a new `confirmed_ms` when
            there was no change.
        """
        requested_ms = self._clock.now_ms()
        found = await self._platform.watch(
            CONFIGURATION_KIND, known.version, wait_ms
        )
        if not found:
            return attrs.evolve(known, confirmed_ms=requested_ms)
        return _decode(found[-1], requested_ms)

    async def replace(
        self,
        known: ConfigurationSnapshot,
        new: Configuration,
    ) -> ConfigurationSnapshot:
        """Write a configuration if `known` is still the newest.

        Raises:
            PlatformConflictError: Another writer stored a newer one.
        """
        requested_ms = self._clock.now_ms()
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
        return ConfigurationSnapshot(new, stored.version, requested_ms)

    async def edit(
        self,
        change: Callable[[Configuration], Configuration],
    ) -> ConfigurationSnapshot:
        """Apply a change to the newest configuration.

        After a write conflict, reloads the configuration and computes the
        change again, for a limited number of attempts.

        Args:
            change: Returns the new configuration, or its argument if there is
                nothing to write. It raises `ConflictError` when the change
                no longer applies.

        Raises:
            ConflictError: Each attempt had a write conflict.
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


def _decode(stored: StoredObject, requested_ms: int) -> ConfigurationSnapshot:
    configuration = decode_json(stored.text, Configuration)
    return ConfigurationSnapshot(configuration, stored.version, requested_ms)
