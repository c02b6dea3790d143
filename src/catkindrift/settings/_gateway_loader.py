"""Loading of the settings of an entry VM on the users' platform."""

from pathlib import Path

import msgspec

from catkindrift.settings._gateway import GatewaySettings
from catkindrift.toml_document import parse_document, read_text


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read a settings file; unknown keys are ignored if it is valid.

    Args:
        path: The settings file.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
        ExceptionGroup: Contains a `SettingError` for each invalid setting
            and, since one may be misspelled, each unknown key.
    """
    return parse_gateway_settings(path, read_text(path))


def parse_gateway_settings(path: Path, text: str) -> GatewaySettings:
    """Parse the contents of a settings file.

    Args:
        path: The settings file, for messages.
        text: Its contents.

    Raises:
        SettingsFileError: The text is not valid TOML.
        ExceptionGroup: As for `load_gateway_settings`.
    """
    document = parse_document(path, text)
    try:
        return msgspec.convert(document, GatewaySettings)
    except msgspec.ValidationError:
        # Only needed for a list of all mistakes; slow to import.
        from catkindrift.strict_settings import (  # noqa: PLC0415
            convert_settings,
        )

        return convert_settings(path, document, GatewaySettings)
