"""Loading of settings files, with an error for every invalid setting."""

from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from catkindrift.errors import SettingError
from catkindrift.toml_document import read_document

_Settings = TypeVar('_Settings')

_SCALARS = frozenset((str, int, bool, float))
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def _check_type(found: Any, wanted: Any) -> Any:
    if wanted not in _SCALARS:
        # A subclass of these, such as an enumeration of texts.
        return wanted(found)
    # bool is a subclass of int, but a TOML boolean is not a valid number.
    is_misplaced_bool = isinstance(found, bool) and wanted is not bool
    is_int_for_float = wanted is float and isinstance(found, int)
    if is_misplaced_bool or not (isinstance(found, wanted) or is_int_for_float):
        raise TypeError(f'a value of type {wanted.__name__}')
    return found


# A hook for a predicate would come after the library's own for these types.
_CONVERTER.register_structure_hook(str, _check_type)
_CONVERTER.register_structure_hook(int, _check_type)
_CONVERTER.register_structure_hook(bool, _check_type)
_CONVERTER.register_structure_hook(float, _check_type)


def load_settings(path: Path, as_type: type[_Settings]) -> _Settings:
    """Read a TOML file and convert it to a settings class.

    Args:
        path: The settings file.
        as_type: attrs class of the settings.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
        ExceptionGroup: Contains a `SettingError` for each invalid setting.
    """
    return convert_settings(path, read_document(path), as_type)


def convert_settings(
    path: Path, document: dict[str, Any], as_type: type[_Settings]
) -> _Settings:
    """Convert a parsed TOML file to a settings class.

    Args:
        path: The settings file, for messages.
        document: Its contents.
        as_type: attrs class of the settings.

    Raises:
        ExceptionGroup: Contains a `SettingError` for each invalid setting.
    """
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
    if isinstance(found, dict) and with_note:
        named = {noted.name for _, noted in with_note}
        errors.extend(_validator_errors(error.cl, key, found, named))
    return errors


def _validator_errors(
    owner: type,
    key: str,
    found: dict[str, Any],
    named: set[str],
) -> list[SettingError]:
    """Return what the validators say of the values that convert.

    The library runs validators only if all values of a class convert.
    """
    errors: list[SettingError] = []
    for field in attrs.fields(owner):
        if field.validator is None or field.name not in found.keys() - named:
            continue
        entry = found[field.name]
        try:
            field.validator(None, field, entry)
        except (TypeError, ValueError) as invalid:
            errors.append(
                SettingError(
                    f'{key}.{field.name}'.lstrip('.'),
                    repr(entry),
                    _expected(invalid),
                )
            )
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
