"""A settings file that can be reloaded while the process runs."""

from pathlib import Path
from typing import final

import attrs
from absl import logging

from catkindrift.errors import SettingsFileError
from catkindrift.settings import GatewaySettings, load_settings


@final
@attrs.define(eq=False)
class SettingsFile:
    """Loads a settings file and keeps the last valid settings.

    Args:
        path: Path of the file.

    Raises:
        SettingsFileError: The file cannot be read, or is not TOML.
        ExceptionGroup: The file is invalid; holds one `SettingError` per
            mistake.
    """

    _path: Path
    settings: GatewaySettings = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the file for the first time."""
        self.settings = load_settings(self._path, GatewaySettings)

    def read_if_changed(self) -> GatewaySettings | None:
        """Reload the file.

        Returns:
            The new settings, or None if the file is unchanged or invalid.
        """
        try:
            newer = load_settings(self._path, GatewaySettings)
        except SettingsFileError as unreadable:
            logging.error('keeping the last valid settings: %s', unreadable)
            return None
        except ExceptionGroup as mistakes:
            for mistake in mistakes.exceptions:
                logging.error('keeping the last valid settings: %s', mistake)
            return None
        if newer == self.settings:
            return None
        self.settings = newer
        return newer
