"""Loading of settings files, with an error for every invalid setting."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from catkindrift.errors import SettingError, SettingsFileError

_Settings = TypeVar('_Settings')

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def _check_type(found: Any, wanted: type) -> Any:
    # bool is a subclass of int, but a TOML boolean is not a valid number.
    is_misplaced_bool = isinstance(found, bool) and wanted is not bool
    is_int_for_float = wanted is float and isinstance(found, int)
    if is_misplaced_bool or not (isinstance(found, wanted) or is_int_for_float):
        raise TypeError(f'a value of type {wanted.__name__}')
    return found


def _is_scalar_type(wanted: Any) -> bool:
    return wanted in {str, int, bool, float}


_CONVERTER.register_structure_hook_func(_is_scalar_type, _check_type)


def read_document(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as unreadable:
        raise SettingsFileError(
            f'{path}: {unreadable.strerror}; name a readable file',
        ) from unreadable
    except ValueError as malformed:
        raise SettingsFileError(
            f'{path} is not TOML: {malformed}; correct that line',
        ) from malformed


def load_settings(path: Path, as_type: type[_Settings]) -> _Settings:
    """Read a TOML file and convert it to a settings class.

    Args:
        path: The settings file.
        as_type: attrs class of the settings.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
        ExceptionGroup: Contains a `SettingError` for each invalid setting.
    """
    document = read_document(path)
    try:
        return _CONVERTER.structure(document, as_type)
    except (ClassValidationError, IterableValidationError) as invalid:
        errors = _setting_errors(invalid, '', document)
        raise ExceptionGroup(f'invalid settings in {path}', errors) from invalid


def _setting_errors(
    error: Exception,
    key: str,
    found: Any,
) -> list[SettingError]:
    match error:
        case ClassValidationError():
            return _class_errors(error, key, found)
        case IterableValidationError():
            return _item_errors(error, key, found)
        case ForbiddenExtraKeysError():
            known = ', '.join(sorted(_field_names(error.cl)))
            return [
                SettingError(
                    f'{key}.{extra}'.lstrip('.'),
                    repr(found.get(extra)),
                    f'one of the keys {known}; remove or rename it',
                )
                for extra in sorted(error.extra_fields)
            ]
        case KeyError():
            return [SettingError(key, 'nothing', 'a value; add the key')]
    return [SettingError(key or 'file', _format_found(found), _expected(error))]


def _class_errors(
    error: ClassValidationError,
    key: str,
    found: Any,
) -> list[SettingError]:
    errors: list[SettingError] = []
    with_note, without_note = error.group_exceptions()
    for inner, note in with_note:
        inner_key = f'{key}.{note.name}'.lstrip('.')
        inner_found = found.get(note.name) if isinstance(found, dict) else found
        errors.extend(_setting_errors(inner, inner_key, inner_found))
    for inner in without_note:
        errors.extend(_setting_errors(inner, key, found))
    return errors


def _item_errors(
    error: IterableValidationError,
    key: str,
    found: Any,
) -> list[SettingError]:
    errors: list[SettingError] = []
    with_note, without_note = error.group_exceptions()
    for inner, note in with_note:
        inner_key = f'{key}[{note.index}]'
        errors.extend(_setting_errors(inner, inner_key, found[note.index]))
    for inner in without_note:
        errors.extend(_setting_errors(inner, key, found))
    return errors


def _field_names(owner: type) -> list[str]:
    return [field.name for field in attrs.fields(owner)]


def _format_found(found: Any) -> str:
    if isinstance(found, dict):
        return 'this table'
    return repr(found)


def _expected(error: Exception) -> str:
    return str(error.args[0]) if error.args else type(error).__name__
