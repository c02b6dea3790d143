"""A settings file that can be reloaded while the process runs."""

import logging
from pathlib import Path
from typing import final

import attrs

from catkindrift.errors import SettingsFileError
from catkindrift.settings import GatewaySettings, parse_gateway_settings
from catkindrift.toml_document import read_text


@final
@attrs.define(eq=False, repr=False)
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
    _text: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the file for the first time."""
        self._text = read_text(self._path)
        self.settings = parse_gateway_settings(self._path, self._text)

    def read_if_changed(self) -> GatewaySettings | None:
        """Reload the file.

        Returns:
            The new settings, or None if the file is unchanged or invalid.
        """
        try:
            newer = self._read_changed()
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

    def _read_changed(self) -> GatewaySettings:
        """Return the settings in the file, parsed only if its text differs.

        Raises:
            SettingsFileError: The file cannot be read, or is not TOML.
            ExceptionGroup: The file is invalid.
        """
        text = read_text(self._path)
        if text == self._text:
            return self.settings
        newer = parse_gateway_settings(self._path, text)
        self._text = text
        return newer
