"""TOML files."""

import tomllib
from pathlib import Path
from typing import Any

from catkindrift.errors import SettingsFileError

__all__ = ['parse_document', 'read_document', 'read_text']


def read_document(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
    """
    return parse_document(path, read_text(path))


def read_text(path: Path) -> str:
    """Return the text of a file.

    Raises:
        SettingsFileError: The file cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as unreadable:
        raise SettingsFileError(
            f'{path}: {unreadable.strerror}; name a readable file',
        ) from unreadable
    except ValueError as malformed:
        raise _not_toml(path, malformed) from malformed


def parse_document(path: Path, text: str) -> dict[str, Any]:
    """Parse TOML text.

    Args:
        path: File of the text, for messages.
        text: Contents of the file.

    Raises:
        SettingsFileError: The text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except ValueError as malformed:
        raise _not_toml(path, malformed) from malformed


def _not_toml(path: Path, malformed: ValueError) -> SettingsFileError:
    return SettingsFileError(
        f'{path} is not TOML: {malformed}; correct that line',
    )
