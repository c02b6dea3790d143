"""The settings file, which may change while the process runs."""

from pathlib import Path
from typing import final

import attrs
from absl import logging

from catkindrift.errors import SettingsFileError
from catkindrift.settings import GatewaySettings, load_settings


@final
@attrs.define(eq=False)
class SettingsFile:
    """Reads the file; a newer one with mistakes leaves the last in force.

    Args:
        path: The file.

    Raises:
        SettingsFileError: The file cannot be read, or is not TOML.
        ExceptionGroup: Of a `SettingError` for each mistake.
    """

    _path: Path
    settings: GatewaySettings = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the file for the first time."""
        self.settings = load_settings(self._path, GatewaySettings)

    def read_if_changed(self) -> GatewaySettings | None:
        """Return newer settings, or nothing if they are the same or wrong."""
        try:
            newer = load_settings(self._path, GatewaySettings)
        except SettingsFileError as unreadable:
            logging.error('settings kept: %s', unreadable)
            return None
        except ExceptionGroup as mistakes:
            for mistake in mistakes.exceptions:
                logging.error('settings kept: %s', mistake)
            return None
        if newer == self.settings:
            return None
        self.settings = newer
        return newer
